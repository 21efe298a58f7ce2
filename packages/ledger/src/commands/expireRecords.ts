import type { ActionRecord } from "../model/actionRecord";
import type { ShardHead } from "../model/shardHead";
import type { TransitionContext } from "../operations/transitionContext";

/** Marks an open claim older than the retention as `unknown` and ended now; its key is kept for one more retention. */
const expireOpenClaim = (record: ActionRecord, { nowMs, limits }: TransitionContext): ActionRecord =>
    record.state === "claimed" && record.claimedAtMs + limits.retentionMs < nowMs
        ? { ...record, state: "unknown", endedAtMs: nowMs }
        : record;

/** Removes segments and ended records whose retention has passed. */
export const expireRecords = (head: ShardHead, context: TransitionContext): ShardHead => {
    const isRetained = (endedAtMs: number): boolean => endedAtMs + context.limits.retentionMs >= context.nowMs;
    const entries = Object.entries(head.records)
        .map(([id, record]) => [id, expireOpenClaim(record, context)] as const)
        .filter(([, record]) => record.endedAtMs === undefined || isRetained(record.endedAtMs));
    const segments = head.segments.filter(segment => isRetained(segment.newestEndedAtMs));
    const changed = segments.length !== head.segments.length
        || entries.length !== Object.keys(head.records).length
        || entries.some(([id, record]) => head.records[id] !== record);
    return changed ? { ...head, records: Object.fromEntries(entries), segments } : head;
};
