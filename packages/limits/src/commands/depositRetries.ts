import type { LimitsState } from "../state/limitsState";

/** Notes a request's first attempt, which earns its service a part of a retry. */
export const depositRetries = (state: LimitsState, service: string): void => {
    const balance = state.retryBalances.get(service) ?? 0;
    const { retryRatio, maximumRetryBalance: maximumSavedRetries } = state.options;
    state.retryBalances.set(service, Math.min(maximumSavedRetries, balance + retryRatio));
};
