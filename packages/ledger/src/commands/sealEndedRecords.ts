import type { ActionRecord } from "../model/actionRecord";
import type { LedgerLimits } from "../model/ledgerLimits";
import type { ShardHead } from "../model/shardHead";
import { recordBytes } from "../queries/recordBytes";

interface SealedHead {
    /** Head without the records to seal. */
    readonly head: ShardHead;
    /** Records of each segment to write. */
    readonly chunks: readonly (readonly ActionRecord[])[];
}

const totalBytes = (records: readonly ActionRecord[]): number =>
    records.reduce((sum, record) => sum + recordBytes(record), 0);

const toChunks = (records: readonly ActionRecord[], maximumBytes: number): readonly (readonly ActionRecord[])[] =>
    records.reduce<readonly (readonly ActionRecord[])[]>((chunks, record) => {
        const last = chunks.at(-1);
        return last !== undefined && totalBytes(last) + recordBytes(record) <= maximumBytes
            ? [...chunks.slice(0, -1), [...last, record]]
            : [...chunks, [record]];
    }, []);

/** Removes the ended records from a head and splits them into segments, once they exceed `sealBytes`. */
export const sealEndedRecords = (head: ShardHead, limits: LedgerLimits): SealedHead => {
    const ended = Object.values(head.records).filter(record => record.state !== "claimed");
    if (totalBytes(ended) <= limits.sealBytes) {
        return { head, chunks: [] };
    }
    const records = Object.fromEntries(Object.entries(head.records).filter(([, { state }]) => state === "claimed"));
    return { head: { ...head, records }, chunks: toChunks(ended, limits.maximumSegmentBytes) };
};
