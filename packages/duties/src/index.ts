// Ports
export type { DutyApi } from "./dutyApi";
export type { ScaleRequest } from "./scaling/scaleRequest";

// Usage
export { createUsageCounts } from "./usage/createUsageCounts";
export { createUsageRecords } from "./usage/createUsageRecords";
export { createUsageReporter } from "./usage/createUsageReporter";
export type { UsageCounts } from "./usage/usageCounts";
export type { UsageRecords } from "./usage/usageRecords";
export type { UsageReporter } from "./usage/usageReporter";
export type { WindowCounts } from "./usage/windowCounts";

// Scaling
export { createScaler } from "./scaling/createScaler";
export { createZoneForecast } from "./scaling/createZoneForecast";
export { fleetSizing } from "./scaling/fleetSizing";
export type { FleetState } from "./scaling/fleetState";
export type { FleetZone } from "./scaling/fleetZone";
export { planFleet } from "./scaling/planFleet";
export type { Scaler } from "./scaling/scaler";
export type { ZoneDemand } from "./scaling/zoneDemand";
export type { ZoneForecast } from "./scaling/zoneForecast";
export type { ZoneTarget } from "./scaling/zoneTarget";

// Lease and execution
export { createDutyRunner } from "./runner/createDutyRunner";
export type { DutyRunner } from "./runner/dutyRunner";
