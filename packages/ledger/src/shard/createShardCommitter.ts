import { ErrorCode, type Failure } from "@ibislanding/core";
import { match } from "ts-pattern";
import { Ok, type Result } from "ts-results";
import { applyOperations } from "../commands/applyOperations";
import { expireRecords } from "../commands/expireRecords";
import { mergeRecords } from "../commands/mergeRecords";
import { sealEndedRecords } from "../commands/sealEndedRecords";
import type { ActionRecord } from "../model/actionRecord";
import type { SegmentReference } from "../model/segmentReference";
import type { ShardHead } from "../model/shardHead";
import type { ShardView } from "../model/shardView";
import type { OperationResult } from "../operations/operationResult";
import { recordIdOf } from "../queries/recordIdOf";
import { segmentsToMerge } from "../queries/segmentsToMerge";
import { createSegmentCache } from "../storage/createSegmentCache";
import type { VersionedHead } from "../storage/versionedHead";
import type { CommitOutcome } from "./commitOutcome";
import { createShardClock } from "./createShardClock";
import type { ShardCommitter } from "./shardCommitter";
import type { ShardTaskOptions } from "./shardTaskOptions";

type CommitterOptions = Pick<ShardTaskOptions, "storage" | "limits" | "clock">;

const removedSegments = (before: ShardHead, after: ShardHead): readonly SegmentReference[] =>
    before.segments.filter(({ key }) => !after.segments.some(segment => segment.key === key));

const replaceSegments = (
    segments: readonly SegmentReference[],
    replaced: readonly SegmentReference[],
    replacement: readonly SegmentReference[],
): readonly SegmentReference[] => {
    const start = segments.findIndex(segment => segment === replaced[0]);
    return [...segments.slice(0, start), ...replacement, ...segments.slice(start + replaced.length)];
};

/** Returns whether the action of a result is done, which no later operation changes. */
const isFinal = (result: OperationResult): boolean => result.kind === "recorded" && result.record.state === "done";

/** Creates a committer that caches the last head that it read or wrote. */
export const createShardCommitter = ({ storage, limits, clock }: CommitterOptions): ShardCommitter => {
    const cache = createSegmentCache(storage);
    let cachedHead: VersionedHead | undefined;
    const shardClock = createShardClock(clock);
    /** True while a write with an unknown outcome may still be applied; forces the next commit to write the head. */
    let hasUncertainWrite = false;

    const handleFailure = (failure: Failure): CommitOutcome => {
        cachedHead = undefined;
        return match(failure.code)
            .with(ErrorCode.KeyValueConflict, (): CommitOutcome => ({ kind: "reread" }))
            .with(ErrorCode.KeyValueOutcomeUnknown, (): CommitOutcome => {
                hasUncertainWrite = true;
                return { kind: "reread" };
            })
            .otherwise(() => ({ kind: "failed", failure }));
    };

    const readAnswer = async (view: ShardView, result: OperationResult): Promise<Result<OperationResult, Failure>> => {
        if (result.kind !== "recorded" || result.record.state !== "done" || result.record.answer !== undefined) {
            return Ok(result);
        }
        const recordId = recordIdOf(result.record);
        const sealed = view.sealed.find(recordId);
        if (sealed === undefined) {
            return Ok(result);
        }
        const segment = await storage.readSegment(sealed.segmentKey);
        return segment.map(({ records }) => ({
            kind: "recorded",
            record: records.find(record => recordIdOf(record) === recordId) ?? result.record,
        }));
    };

    const readAnswers = async (view: ShardView, results: readonly OperationResult[]): Promise<CommitOutcome> => {
        const read = await Promise.all(results.map(result => readAnswer(view, result)));
        const failed = read.find(result => result.err);
        return failed?.err
            ? handleFailure(failed.val)
            : { kind: "committed", results: read.flatMap(result => result.ok ? [result.val] : []) };
    };

    const writeSegments = async (
        chunks: readonly (readonly ActionRecord[])[],
    ): Promise<Result<readonly SegmentReference[], Failure>> => {
        const written = await Promise.all(chunks.map(records => storage.writeSegment(records)));
        const failed = written.find(result => result.err);
        if (failed?.err) {
            return failed;
        }
        const references = written.flatMap(result => result.ok ? [result.val] : []);
        references.forEach(({ key }, position) => cache.add(key, { records: chunks[position] ?? [] }));
        return Ok(references);
    };

    const writeHead = async (before: VersionedHead, after: ShardHead): Promise<Result<number, Failure>> => {
        const result = await storage.writeHead(after, before.version);
        if (result.ok) {
            hasUncertainWrite = false;
            cachedHead = { head: after, version: result.val };
            void Promise.all(removedSegments(before.head, after).map(({ key }) => storage.deleteSegment(key)));
        }
        return result;
    };

    const sealAndWriteHead = async (before: VersionedHead, changed: ShardHead): Promise<Result<number, Failure>> => {
        const { head, chunks } = sealEndedRecords(changed, limits);
        const segments = await writeSegments(chunks);
        if (segments.err) {
            return segments;
        }
        const after = { ...head, segments: [...head.segments, ...segments.val] };
        const result = await writeHead(before, after);
        if (result.err && result.val.code === ErrorCode.KeyValueConflict) {
            void Promise.all(segments.val.map(({ key }) => storage.deleteSegment(key)));
        }
        return result;
    };

    const commit: ShardCommitter["commit"] = async operations => {
        const wasHeadRead = cachedHead === undefined;
        const read = cachedHead === undefined ? await storage.readHead() : Ok(cachedHead);
        if (read.err) {
            return handleFailure(read.val);
        }
        const before = read.val;
        const sealed = await cache.indexOf(before.head.segments);
        if (sealed.err) {
            const outcome = handleFailure(sealed.val);
            // A segment that a cached head references may have been deleted since; the head is then read again.
            return wasHeadRead ? { kind: "failed", failure: sealed.val } : outcome;
        }
        const context = { nowMs: shardClock.observe(before.head), limits };
        const view = { head: expireRecords(before.head, context), sealed: sealed.val };
        const applied = applyOperations(view, operations, context);
        if (applied.head === before.head && !hasUncertainWrite) {
            cachedHead = before;
            // The cached head may be outdated; no write detects this here, so only final results are returned.
            if (!wasHeadRead && !applied.results.every(isFinal)) {
                cachedHead = undefined;
                return { kind: "reread" };
            }
            return readAnswers(view, applied.results);
        }
        const result = await sealAndWriteHead(before, { ...applied.head, shardTimeMs: context.nowMs });
        return result.err ? handleFailure(result.val) : readAnswers(view, applied.results);
    };

    const mergeSegments: ShardCommitter["mergeSegments"] = async () => {
        const before = cachedHead;
        const merged = before === undefined ? [] : segmentsToMerge(before.head.segments, limits);
        if (before === undefined || merged.length === 0) {
            return;
        }
        const read = await Promise.all(merged.map(({ key }) => storage.readSegment(key)));
        const segments = read.flatMap(result => result.ok ? [result.val] : []);
        const written = segments.length === merged.length ? await writeSegments([mergeRecords(segments)]) : undefined;
        if (written?.ok) {
            const mergedSegments = replaceSegments(before.head.segments, merged, written.val);
            const result = await writeHead(before, { ...before.head, segments: mergedSegments });
            if (result.err) {
                handleFailure(result.val);
            }
        }
    };

    return { commit, mergeSegments };
};
