import type { Failure, FencingNumber } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { LeaseGrant } from "./leaseGrant";

/** A contender for one lease. */
export interface LeaseHolder extends AsyncDisposable {
    /** Takes, renews or observes the lease once. */
    readonly step: () => Promise<void>;
    /**
     * Returns the fencing number for an order that is sent right now, or `lease_lost`. The answer is no proof: the
     * process may be paused before the order leaves.
     */
    readonly check: (upstream: { readonly honoursFencing: boolean; }) => Result<FencingNumber, Failure>;
    /** The lease as last confirmed, if it is still valid. */
    readonly grant: () => LeaseGrant | undefined;
    /** Gives the lease back, so that a successor need not wait. No order may follow. */
    readonly release: () => Promise<void>;
}
