import type { LimitsState } from "../state/limitsState";

/** Tolerance for rounding errors in a balance that is summed from fractions of a retry. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Withdraws one retry from the budget of a service and returns whether the retry is allowed. Moving an accepted stream
 * off a leaving upstream is always allowed; it may overdraw the budget, which then denies later retries.
 */
export const withdrawRetry = (state: LimitsState, service: string, reason: "retry" | "move"): boolean => {
    const balance = state.retryBalances.get(service) ?? 0;
    const isAllowed = reason === "move" || balance >= 1 - ROUNDING_TOLERANCE;
    if (isAllowed) {
        state.retryBalances.set(service, balance - 1);
    }
    return isAllowed;
};
