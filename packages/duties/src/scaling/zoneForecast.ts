import type { AvailabilityZone, ServiceName } from "@ibislanding/core";
import type { ZoneDemand } from "./zoneDemand";

/** Forecasts of the demand by availability zone. */
export interface ZoneForecast {
    /**
     * Adds the demand of a service by zone, in busy engines, and returns the forecast for the time that an engine takes to
     * start; empty until demand has been observed for long enough.
     */
    readonly observe: (
        service: ServiceName,
        busyByZone: ReadonlyMap<AvailabilityZone, number>,
        bootMs: number,
    ) => ReadonlyMap<AvailabilityZone, ZoneDemand>;
}
