import type { AccountId, ActionKey, HostId } from "@ibislanding/core";
import type { ActionRecord } from "../model/actionRecord";
import type { ClaimId } from "../model/claimId";
import type { ShardHead } from "../model/shardHead";
import type { EncodedHead } from "./encodedHead";

/** Prefix of a stored claim id from which the host id of its writer was omitted. */
const CLAIM_SEPARATOR = "/";

/** Decodes a head from its stored JSON text. */
export const decodeHead = (text: string): ShardHead => {
    const encoded = JSON.parse(text) as EncodedHead;

    const decodeRecord = (id: string, record: EncodedHead["records"][string]): ActionRecord => {
        const { digest, claim, host, state = "claimed", ...rest } = record;
        const separator = id.indexOf("/");
        const [hostId = "", address = ""] = encoded.hosts[host] ?? [];
        return {
            ...rest,
            accountId: decodeURIComponent(id.slice(0, separator)) as AccountId,
            key: id.slice(separator + 1) as ActionKey,
            requestSha256: digest,
            claimId: (claim.startsWith(CLAIM_SEPARATOR) ? `${hostId}${claim}` : claim) as ClaimId,
            writer: { hostId: hostId as HostId, address },
            state,
        };
    };

    return {
        shardTimeMs: encoded.shardTimeMs,
        records: Object.fromEntries(
            Object.entries(encoded.records).map(([id, record]) => [id, decodeRecord(id, record)]),
        ),
        segments: encoded.segments,
    };
};
