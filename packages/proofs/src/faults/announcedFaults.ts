import type { FaultKind } from "./faultKind";

/** Faults with advance notice, during which no accepted request may be lost. */
export const announcedFaults: readonly FaultKind[] = ["stop-entry", "reclaim-engine", "reclaim-zone"];
