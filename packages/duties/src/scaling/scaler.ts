import type { FencingNumber, ServiceName } from "@ibislanding/core";
import type { FleetState } from "./fleetState";

/** Orders the numbers of upstreams while this host holds the duty. */
export interface Scaler {
    readonly step: (
        service: ServiceName,
        state: Omit<FleetState, "zones"> & {
            readonly zones: readonly Omit<FleetState["zones"][number], "isReclaimableRefused">[];
        },
        fencingNumber: () => FencingNumber | undefined,
    ) => Promise<void>;
}
