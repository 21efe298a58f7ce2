import type { LimitsState } from "../state/limitsState";

/** Adds a fraction of a retry to the budget of a service; called at the first attempt of each request. */
export const depositRetries = (state: LimitsState, service: string): void => {
    const balance = state.retryBalances.get(service) ?? 0;
    const { retryRatio, maximumRetryBalance } = state.options;
    state.retryBalances.set(service, Math.min(maximumRetryBalance, balance + retryRatio));
};
