import type { AccountId, HostId, ServiceName } from "@ibislanding/core";
import type { AdmissionLevel } from "./admissionLevel";
import type { DemandRow } from "./demandRow";
import type { OfferedRequest } from "./offeredRequest";

/** Demand of all hosts, and the admission level of each saturated service. */
export interface LevelState {
    /** Counts a request that has arrived; called once for each. */
    readonly recordOffered: (request: OfferedRequest) => void;
    /**
     * Counts a request whose first event has arrived, after the given wait at the upstream as a fraction of its objective;
     * called once for each.
     */
    readonly recordFirstEvent: (request: OfferedRequest, waitShare: number) => void;
    /** Records that a request was refused although the level admits it: no upstream would have answered it in time. */
    readonly recordSaturation: (service: ServiceName) => void;
    /**
     * Whether the level admits a request; called once for each. `freeShare` returns the fraction of the service's slots that
     * are free, and is called only if the request would be refused. A request at the level that returns at its time is
     * admitted, and the part of the capacity that is held for such requests is not given to others.
     */
    readonly admits: (
        request: OfferedRequest,
        freeShare: () => number,
        returning?: { readonly hasPlace: () => boolean; readonly heldShare: () => number; },
    ) => boolean;
    /** Replaces the counters of a peer by those of its report. */
    readonly observePeer: (hostId: HostId, rows: readonly DemandRow[]) => void;
    /** Counters of this host, for the services that are saturated. */
    readonly rows: () => readonly DemandRow[];
    /**
     * Capacity for the requests of a service at an urgency, which more urgent ones leave, over all hosts; undefined while the
     * service is not saturated.
     */
    readonly freeUnitsPerS: (service: ServiceName, urgency: number) => number | undefined;
    /** Whether the group of hosts is large enough for a level. */
    readonly isEnabled: () => boolean;
    /** Units per second that all hosts serve of an account. */
    readonly servedUnitsPerS: (service: ServiceName, accountId: AccountId | "") => number;
    /** Level of a service; undefined while it is not saturated. */
    readonly levelOf: (service: ServiceName) => AdmissionLevel | undefined;
}
