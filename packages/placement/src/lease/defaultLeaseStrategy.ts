import type { LeaseStrategy } from "./leaseStrategy";

/** Strategy used in production. */
export const defaultLeaseStrategy: LeaseStrategy = {
    nextFencingNumber: previous => previous + 1,
    settlingMs: longestPauseMs => longestPauseMs,
    readsBackWrites: true,
};
