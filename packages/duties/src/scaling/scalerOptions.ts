import type { Clock, Failure } from "@ibislanding/core";
import type { DutyApi } from "../dutyApi";
import type { FleetState } from "./fleetState";
import type { ScaleRequest } from "./scaleRequest";

/** Dependencies and callbacks of the scaler. */
export interface ScalerOptions {
    readonly api: DutyApi;
    readonly clock: Clock;
    readonly onRequested: (request: ScaleRequest, state: FleetState) => void;
    readonly onFailure: (request: ScaleRequest, failure: Failure) => void;
}
