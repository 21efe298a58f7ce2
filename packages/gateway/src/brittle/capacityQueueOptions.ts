import type { AccountId, ServiceName } from "@ibislanding/core";

/** Order in which waiting requests get capacity. */
export interface CapacityQueueOptions {
    /** Whether urgency, account and deadline decide, instead of the order of arrival. */
    readonly isOrdered: () => boolean;
    /** Units per second that all hosts serve of an account. */
    readonly servedUnitsPerS: (service: ServiceName, accountId: AccountId | "") => number;
}
