import type { LeaseStrategy } from "./leaseStrategy";

/** Strategy of the product. */
export const defaultLeaseStrategy: LeaseStrategy = {
    nextFencingNumber: previous => previous + 1,
    settlingMs: longestPauseMs => longestPauseMs,
    readsBackWrites: true,
};
