import type { ShardView } from "../model/shardView";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { Transition } from "../operations/transition";
import type { TransitionContext } from "../operations/transitionContext";
import { findRecord } from "../queries/findRecord";
import { isShardFull } from "../queries/isShardFull";
import { recordIdOf } from "../queries/recordIdOf";
import { putRecord } from "./putRecord";

type ClaimOperation = Extract<LedgerOperation, { readonly kind: "claim" | "takeOver"; }>;

const openClaim = (view: ShardView, operation: ClaimOperation, context: TransitionContext): Transition => {
    const { accountId, key, requestSha256, claimId, writer } = operation;
    const record = {
        accountId,
        key,
        requestSha256,
        claimId,
        writer,
        state: "claimed",
        claimedAtMs: context.nowMs,
    } as const;
    return { head: putRecord(view.head, record), result: { kind: "claimed" } };
};

/** Opens a claim, or replaces the claim that a takeover names unless its action is done. */
export const claimRecord = (view: ShardView, operation: ClaimOperation, context: TransitionContext): Transition => {
    const { head } = view;
    const record = findRecord(view, recordIdOf(operation));
    if (record === undefined) {
        return isShardFull(head, context.limits)
            ? { head, result: { kind: "full" } }
            : openClaim(view, operation, context);
    }
    if (record.requestSha256 !== operation.requestSha256) {
        return { head, result: { kind: "keyReused" } };
    }
    if (record.claimId === operation.claimId && record.state === "claimed") {
        return { head, result: { kind: "claimed" } };
    }
    const replaces = operation.kind === "takeOver" && record.claimId === operation.previousClaimId;
    return replaces && record.state !== "done"
        ? openClaim(view, operation, context)
        : { head, result: { kind: "recorded", record } };
};
