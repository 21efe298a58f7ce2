import type { HeldMemory } from "./heldMemory";

/** Limit on the bodies that all requests of a process hold in memory. */
export interface MemoryBudget {
    /** Opens the share of one request. */
    readonly open: () => HeldMemory;
    readonly heldBytes: () => number;
}
