import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { SealedIndex } from "../model/sealedIndex";
import type { Segment } from "../model/segment";
import type { SegmentReference } from "../model/segmentReference";

/** Indexes of sealed segments, read once each. */
export interface SegmentCache {
    /** Returns the index over the segments and forgets those that are not among them. */
    readonly indexOf: (segments: readonly SegmentReference[]) => Promise<Result<SealedIndex, Failure>>;
    /** Adds a segment that this process wrote. */
    readonly add: (key: string, segment: Segment) => void;
}
