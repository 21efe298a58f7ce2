import type { ActionState } from "../model/actionState";
import type { RecordedAnswer } from "../model/recordedAnswer";
import type { SegmentReference } from "../model/segmentReference";

/** A record without what its id and the host table say. */
interface EncodedRecord {
    readonly digest: string;
    readonly claim: string;
    /** Position of the writer in the host table. */
    readonly host: number;
    /** Omitted for an open claim. */
    readonly state?: ActionState;
    readonly claimedAtMs: number;
    readonly endedAtMs?: number;
    readonly answer?: RecordedAnswer;
}

/** JSON form of a head; it names each writer once. */
export interface EncodedHead {
    readonly shardTimeMs: number;
    readonly hosts: readonly (readonly [hostId: string, address: string])[];
    readonly records: Readonly<Record<string, EncodedRecord>>;
    readonly segments: readonly SegmentReference[];
}
