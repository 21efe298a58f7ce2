import type { LimitsState } from "../state/limitsState";

/** Tolerance for the rounding of the sums of parts. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Takes one retry from a service's budget and returns whether it may be made. Moving an accepted stream from a leaving
 * upstream is always allowed and overdraws the budget, at the cost of later retries.
 */
export const withdrawRetry = (state: LimitsState, service: string, reason: "retry" | "move"): boolean => {
    const balance = state.retryBalances.get(service) ?? 0;
    const isAllowed = reason === "move" || balance >= 1 - ROUNDING_TOLERANCE;
    if (isAllowed) {
        state.retryBalances.set(service, balance - 1);
    }
    return isAllowed;
};
