import type { Clock, ServiceName } from "@ibislanding/core";
import type { RetryBudget } from "./retryBudget";
import type { RetryBudgetOptions } from "./retryBudgetOptions";

interface WindowCounts {
    requestTimesMs: number[];
    repeatTimesMs: number[];
}

/** Part of the budget that is used; the rest covers requests that are counted in another window than here. */
const USED_SHARE = 0.8;

const dropBefore = (timesMs: number[], oldestMs: number): number[] => {
    const first = timesMs.findIndex(timeMs => timeMs >= oldestMs);
    return first === 0 ? timesMs : first === -1 ? [] : timesMs.slice(first);
};

/** Creates this host's part of the budget: its own requests earn repeats, and the slack is divided among the hosts. */
export const createRetryBudget = (clock: Clock, options: RetryBudgetOptions): RetryBudget => {
    const services = new Map<ServiceName, WindowCounts>();

    const countsOf = (service: ServiceName): WindowCounts => {
        const counts = services.get(service) ?? { requestTimesMs: [], repeatTimesMs: [] };
        const oldestMs = clock.monotonicMs() - options.windowMs;
        counts.requestTimesMs = dropBefore(counts.requestTimesMs, oldestMs);
        counts.repeatTimesMs = dropBefore(counts.repeatTimesMs, oldestMs);
        services.set(service, counts);
        return counts;
    };

    return {
        countRequest: service => void countsOf(service).requestTimesMs.push(clock.monotonicMs()),
        spend: service => {
            const counts = countsOf(service);
            const allowed = (counts.requestTimesMs.length * options.ratio + options.slack / options.hostCount())
                * USED_SHARE;
            if (counts.repeatTimesMs.length + 1 > allowed) {
                return false;
            }
            counts.repeatTimesMs.push(clock.monotonicMs());
            return true;
        },
    };
};
