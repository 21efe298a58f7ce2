import type { ActionRecord } from "../model/actionRecord";
import type { ShardHead } from "../model/shardHead";
import type { EncodedHead } from "./encodedHead";

const serializeHost = ({ writer }: ActionRecord): string => JSON.stringify([writer.hostId, writer.address]);

const encodeClaimId = ({ claimId, writer }: ActionRecord): string =>
    claimId.startsWith(`${writer.hostId}/`) ? claimId.slice(writer.hostId.length) : claimId;

/** Encodes a head as JSON text, in the form of `EncodedHead`. */
export const encodeHead = (head: ShardHead): string => {
    const records = Object.entries(head.records);
    const hosts = [...new Set(records.map(([, record]) => serializeHost(record)))];
    const positions = new Map(hosts.map((host, position) => [host, position]));
    const encoded: EncodedHead = {
        shardTimeMs: head.shardTimeMs,
        hosts: hosts.map(host => JSON.parse(host) as EncodedHead["hosts"][number]),
        records: Object.fromEntries(records.map(([id, record]) => [id, {
            digest: record.requestSha256,
            claim: encodeClaimId(record),
            host: positions.get(serializeHost(record)) ?? 0,
            state: record.state === "claimed" ? undefined : record.state,
            claimedAtMs: record.claimedAtMs,
            endedAtMs: record.endedAtMs,
            answer: record.answer,
        }])),
        segments: head.segments,
    };
    return JSON.stringify(encoded);
};
