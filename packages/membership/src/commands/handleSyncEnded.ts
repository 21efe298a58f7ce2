import type { MembershipEvent } from "../state/membershipEvent";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { mergeNoticesAndUsages } from "./mergeNoticesAndUsages";
import { mergeTable } from "./mergeTable";

/** Merges the member table, notices and usage reports of a sync response. */
export const handleSyncEnded = (
    state: MembershipState,
    { response }: MembershipEvent & { type: "syncEnded"; },
    context: TransitionContext,
): void => {
    if (response !== undefined) {
        state.lastResponseAtMs = context.nowMs;
        mergeTable(state, response.members, context);
        mergeNoticesAndUsages(state, response.notices, response.usages, context);
    }
};
