import type { AccountId } from "@ibislanding/core";

/**
 * Which requests of a service are admitted: all of an urgency number below `urgency`, none above it, and at it the stated
 * fraction of each account's requests. An account that is not listed has none of the demand that the level was computed from.
 */
export interface AdmissionLevel {
    /** Infinity if all requests are admitted. */
    readonly urgency: number;
    readonly admittedShares: ReadonlyMap<AccountId | "", number>;
}
