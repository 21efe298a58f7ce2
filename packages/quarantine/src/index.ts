export type { CrashSuspect } from "./crashSuspect";
export { createQuarantine } from "./createQuarantine";
export { findCrashingFeature } from "./findCrashingFeature";
export type { Quarantine } from "./quarantine";
export type { QuarantinedFeature } from "./quarantinedFeature";
export type { QuarantineEvents } from "./quarantineEvents";
export type { QuarantineRows } from "./quarantineRows";
