import type { Clock, ServiceName } from "@ibislanding/core";
import type { RetryBudget } from "./retryBudget";
import type { RetryBudgetOptions } from "./retryBudgetOptions";

interface WindowCounts {
    requestTimesMs: number[];
    retryTimesMs: number[];
}

/** Fraction of the budget that is used; the rest covers requests that are counted in a different window elsewhere. */
const UTILIZATION_LIMIT = 0.8;

const removeBefore = (timesMs: number[], oldestMs: number): number[] => {
    const first = timesMs.findIndex(timeMs => timeMs >= oldestMs);
    return first === 0 ? timesMs : first === -1 ? [] : timesMs.slice(first);
};

/**
 * Creates this host's share of the budget: `ratio` retries for each of its requests, plus an equal part of the slack.
 */
export const createRetryBudget = (clock: Clock, options: RetryBudgetOptions): RetryBudget => {
    const services = new Map<ServiceName, WindowCounts>();

    const countsOf = (service: ServiceName): WindowCounts => {
        const counts = services.get(service) ?? { requestTimesMs: [], retryTimesMs: [] };
        const oldestMs = clock.monotonicMs() - options.windowMs;
        counts.requestTimesMs = removeBefore(counts.requestTimesMs, oldestMs);
        counts.retryTimesMs = removeBefore(counts.retryTimesMs, oldestMs);
        services.set(service, counts);
        return counts;
    };

    const hasRetry = (service: ServiceName): boolean => {
        const { requestTimesMs, retryTimesMs } = countsOf(service);
        const allowed = (requestTimesMs.length * options.ratio + options.slack / options.hostCount())
            * UTILIZATION_LIMIT;
        return retryTimesMs.length + 1 <= allowed;
    };

    const charge = (service: ServiceName): void => void countsOf(service).retryTimesMs.push(clock.monotonicMs());

    return {
        recordRequest: service => void countsOf(service).requestTimesMs.push(clock.monotonicMs()),
        tryAcquire: service => {
            const isPermitted = hasRetry(service);
            if (isPermitted) {
                charge(service);
            }
            return isPermitted;
        },
        hasRetry,
        charge,
    };
};
