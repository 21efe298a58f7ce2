import { createFailure, ErrorCode, type Failure, type RandomSource } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import { Err, Ok, type Result } from "ts-results";
import type { ActionRecord } from "../model/actionRecord";
import { emptyShardHead } from "../model/emptyShardHead";
import type { Segment } from "../model/segment";
import type { SegmentReference } from "../model/segmentReference";
import { decodeHead } from "./decodeHead";
import { encodeHead } from "./encodeHead";
import type { ShardStorage } from "./shardStorage";

const SEGMENT_ID_LENGTH = 16;

interface ShardStorageOptions {
    readonly store: KeyValueStore;
    readonly shard: number;
    readonly random: RandomSource;
    readonly timeoutMs: number;
}

const newestEndedAtMsOf = (records: readonly ActionRecord[]): number =>
    records.reduce((newest, record) => Math.max(newest, record.endedAtMs ?? 0), 0);

/** Creates the storage of a shard in the key-value service. */
export const createShardStorage = ({ store, shard, random, timeoutMs }: ShardStorageOptions): ShardStorage => {
    const headKey = `ledger/${shard}/head`;

    const readSegment = async (key: string): Promise<Result<Segment, Failure>> => {
        const result = await store.get(key, { cause: "ledger-read", timeoutMs });
        return result.andThen(entry =>
            entry === undefined
                ? Err(createFailure(ErrorCode.KeyValueConflict))
                : Ok(JSON.parse(entry.value) as Segment)
        );
    };

    const writeSegment = async (records: readonly ActionRecord[]): Promise<Result<SegmentReference, Failure>> => {
        const newestEndedAtMs = newestEndedAtMsOf(records);
        const key = `ledger/${shard}/segments/${newestEndedAtMs}-${random.nextHex(SEGMENT_ID_LENGTH)}`;
        const value = JSON.stringify({ records } satisfies Segment);
        const reference = { key, recordCount: records.length, sizeBytes: Buffer.byteLength(value), newestEndedAtMs };
        const options = { cause: "ledger-seal", timeoutMs } as const;
        const written = await store.compareAndSwap({ key, expectedVersion: 0, value }, options);
        if (written.ok) {
            return Ok(reference);
        }
        if (written.val.code !== ErrorCode.KeyValueOutcomeUnknown) {
            return written;
        }
        const found = await readSegment(key);
        return found.ok ? Ok(reference) : Err(createFailure(ErrorCode.KeyValueUnavailable));
    };

    return {
        readHead: async () => {
            const result = await store.get(headKey, { cause: "ledger-read", timeoutMs });
            return result.map(entry =>
                entry === undefined
                    ? { head: emptyShardHead, version: 0 }
                    : { head: decodeHead(entry.value), version: entry.version }
            );
        },
        writeHead: (head, expectedVersion) =>
            store.compareAndSwap(
                { key: headKey, expectedVersion, value: encodeHead(head) },
                { cause: "ledger-claim", timeoutMs },
            ),
        readSegment,
        writeSegment,
        deleteSegment: async key => {
            const entry = await store.get(key, { cause: "ledger-seal", timeoutMs });
            if (entry.ok && entry.val !== undefined) {
                const request = { key, expectedVersion: entry.val.version, value: undefined };
                await store.compareAndSwap(request, { cause: "ledger-seal", timeoutMs });
            }
        },
    };
};
