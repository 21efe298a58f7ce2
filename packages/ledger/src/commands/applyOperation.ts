import { match } from "ts-pattern";
import type { ShardView } from "../model/shardView";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { Transition } from "../operations/transition";
import type { TransitionContext } from "../operations/transitionContext";
import { findRecord } from "../queries/findRecord";
import { recordIdOf } from "../queries/recordIdOf";
import { claimRecord } from "./claimRecord";
import { endRecord } from "./endRecord";
import { releaseRecord } from "./releaseRecord";

/** Applies one operation to a shard, without side effects. */
export const applyOperation = (
    view: ShardView,
    operation: LedgerOperation,
    context: TransitionContext,
): Transition => {
    const recordId = recordIdOf(operation);
    return match(operation)
        .with({ kind: "claim" }, { kind: "takeOver" }, claim => claimRecord(view, claim, context))
        .with({ kind: "finish" }, ({ claimId, answer }) =>
            endRecord(
                view,
                recordId,
                claimId,
                record => ({ ...record, state: "done", endedAtMs: context.nowMs, answer }),
            ))
        .with({ kind: "markUnknown" }, ({ claimId }) =>
            endRecord(
                view,
                recordId,
                claimId,
                record =>
                    record.state === "unknown" ? record : { ...record, state: "unknown", endedAtMs: context.nowMs },
            ))
        .with({ kind: "release" }, ({ claimId }) => releaseRecord(view, recordId, claimId))
        .with({ kind: "read" }, (): Transition => {
            const record = findRecord(view, recordId);
            return {
                head: view.head,
                result: record === undefined ? { kind: "absent" } : { kind: "recorded", record },
            };
        })
        .exhaustive();
};
