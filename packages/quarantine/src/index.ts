export type { CrashSuspect } from "./crashSuspect";
export { createPartQuarantine } from "./createPartQuarantine";
export { findCrashingPart } from "./findCrashingPart";
export type { PartQuarantine } from "./partQuarantine";
export type { QuarantinedPart } from "./quarantinedPart";
export type { QuarantineEvents } from "./quarantineEvents";
export type { QuarantineRows } from "./quarantineRows";
