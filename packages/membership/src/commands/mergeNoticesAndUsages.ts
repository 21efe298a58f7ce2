import type { UpstreamNotice as WireUpstreamNotice, UsageReport as WireUsageReport } from "@ibislanding/protocol";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { fromWireNotice } from "../wire/fromWireNotice";
import { fromWireUsage } from "../wire/fromWireUsage";
import { mergeNotice } from "./mergeNotice";
import { mergeUsage } from "./mergeUsage";

/** Merges notices and usage reports received from another process. */
export const mergeNoticesAndUsages = (
    state: MembershipState,
    notices: readonly WireUpstreamNotice[],
    usages: readonly WireUsageReport[],
    context: TransitionContext,
): void => {
    notices.forEach(wireNotice => {
        const notice = fromWireNotice(wireNotice);
        if (notice !== undefined) {
            mergeNotice(state, notice, context);
        }
    });
    usages.forEach(report => mergeUsage(state, fromWireUsage(report)));
};
