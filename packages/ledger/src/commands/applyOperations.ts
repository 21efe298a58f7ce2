import type { ShardHead } from "../model/shardHead";
import type { ShardView } from "../model/shardView";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationResult } from "../operations/operationResult";
import type { TransitionContext } from "../operations/transitionContext";
import { applyOperation } from "./applyOperation";

interface BatchTransition {
    readonly head: ShardHead;
    readonly results: readonly OperationResult[];
}

/** Applies operations in order; the head is the same object when none of them changed it. */
export const applyOperations = (
    view: ShardView,
    operations: readonly LedgerOperation[],
    context: TransitionContext,
): BatchTransition =>
    operations.reduce<BatchTransition>(
        ({ head, results }, operation) => {
            const transition = applyOperation({ ...view, head }, operation, context);
            return { head: transition.head, results: [...results, transition.result] };
        },
        { head: view.head, results: [] },
    );
