import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { SealedIndex } from "../model/sealedIndex";
import type { Segment } from "../model/segment";
import type { SegmentReference } from "../model/segmentReference";

/** Cache of the indexes of sealed segments; each segment is read once to build its index. */
export interface SegmentCache {
    /** Returns the combined index of the segments, and evicts all others. */
    readonly indexOf: (segments: readonly SegmentReference[]) => Promise<Result<SealedIndex, Failure>>;
    /** Adds the index of a segment that this process wrote, which then need not be read. */
    readonly add: (key: string, segment: Segment) => void;
}
