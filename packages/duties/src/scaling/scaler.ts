import type { FencingNumber, ServiceName } from "@ibislanding/core";
import type { FleetState } from "./fleetState";

/** Requests upstreams from the platform while this host holds the duties' lease. */
export interface Scaler {
    readonly step: (
        service: ServiceName,
        state: Omit<FleetState, "zones"> & {
            readonly zones: readonly Omit<FleetState["zones"][number], "isReclaimableRefused">[];
        },
        fencingNumber: () => FencingNumber | undefined,
    ) => Promise<void>;
}
