import type { AccountId, ServiceName } from "@ibislanding/core";

/**
 * Work that the clients of an account offered to a service at one urgency, and the part of it that was sent to upstreams. Of
 * a report, the units are counters that only grow; of an interval, they are units per second.
 */
export interface DemandRow {
    readonly service: ServiceName;
    /** 0 is the most urgent. */
    readonly urgency: number;
    /** Empty for anonymous requests. */
    readonly accountId: AccountId | "";
    readonly offeredUnits: number;
    readonly sentUnits: number;
}
