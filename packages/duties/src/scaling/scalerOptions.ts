import type { Clock, Failure } from "@ibislanding/core";
import type { DutyApi } from "../dutyApi";
import type { ScaleOrder } from "./scaleOrder";

/** What the scaler calls and tells. */
export interface ScalerOptions {
    readonly api: DutyApi;
    readonly clock: Clock;
    readonly onOrdered: (order: ScaleOrder, busyUpstreams: number) => void;
    readonly onFailure: (order: ScaleOrder, failure: Failure) => void;
}
