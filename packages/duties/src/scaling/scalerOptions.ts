import type { Clock, Failure } from "@ibislanding/core";
import type { DutyApi } from "../dutyApi";
import type { FleetState } from "./fleetState";
import type { ScaleOrder } from "./scaleOrder";

/** What the scaler calls and tells. */
export interface ScalerOptions {
    readonly api: DutyApi;
    readonly clock: Clock;
    readonly onOrdered: (order: ScaleOrder, state: FleetState) => void;
    readonly onFailure: (order: ScaleOrder, failure: Failure) => void;
}
