import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ActionRecord } from "../model/actionRecord";
import type { Segment } from "../model/segment";
import type { SegmentReference } from "../model/segmentReference";
import type { ShardHead } from "../model/shardHead";
import type { VersionedHead } from "./versionedHead";

/** Storage of one shard in the key-value service. */
export interface ShardStorage {
    readonly readHead: () => Promise<Result<VersionedHead, Failure>>;
    /** Replaces the head if it still has the expected version; returns the new version. */
    readonly writeHead: (head: ShardHead, expectedVersion: number) => Promise<Result<number, Failure>>;
    /** Fails with `key_value_conflict` if the segment no longer exists. */
    readonly readSegment: (key: string) => Promise<Result<Segment, Failure>>;
    /** Writes records as a new segment under a unique key. */
    readonly writeSegment: (records: readonly ActionRecord[]) => Promise<Result<SegmentReference, Failure>>;
    /** Deletes a segment that no head references; after a failure, which is ignored, the segment remains stored. */
    readonly deleteSegment: (key: string) => Promise<void>;
}
