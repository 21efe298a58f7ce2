import type { LeaseStrategy } from "./leaseStrategy";

/** Strategy of the product. */
export const safeLeaseStrategy: LeaseStrategy = {
    nextFencingNumber: previous => previous + 1,
    settlingMs: longestPauseMs => longestPauseMs,
    readsBack: true,
};
