import type { Failure, FencingNumber } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { LeaseGrant } from "./leaseGrant";

/** A contender for one lease, which may currently hold it. */
export interface LeaseHolder extends AsyncDisposable {
    /** Acquires, renews or observes the lease, whichever is due; call it periodically. */
    readonly step: () => Promise<void>;
    /**
     * Returns the fencing number for an order that is sent immediately, or `lease_lost`. The check is not a guarantee:
     * the process may be paused between the check and the order.
     */
    readonly check: (upstream: { readonly honoursFencing: boolean; }) => Result<FencingNumber, Failure>;
    /** Returns the last confirmed grant, or undefined when it has expired. */
    readonly grant: () => LeaseGrant | undefined;
    /** Releases the lease, so that a successor need not wait for it to expire. No orders may be sent afterwards. */
    readonly release: () => Promise<void>;
}
