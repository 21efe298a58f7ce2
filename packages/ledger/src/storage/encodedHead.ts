import type { ActionState } from "../model/actionState";
import type { RecordedAnswer } from "../model/recordedAnswer";
import type { SegmentReference } from "../model/segmentReference";

/** A record without the fields that follow from its id and the host table. */
interface EncodedRecord {
    readonly digest: string;
    /** Claim id; the host id of the writer is omitted if the claim id starts with it. */
    readonly claim: string;
    /** Index of the writer in `hosts`. */
    readonly host: number;
    /** Omitted for an open claim. */
    readonly state?: ActionState;
    readonly claimedAtMs: number;
    readonly endedAtMs?: number;
    readonly answer?: RecordedAnswer;
}

/** JSON form of a head; `hosts` lists each writer once. */
export interface EncodedHead {
    readonly shardTimeMs: number;
    readonly hosts: readonly (readonly [hostId: string, address: string])[];
    readonly records: Readonly<Record<string, EncodedRecord>>;
    readonly segments: readonly SegmentReference[];
}
