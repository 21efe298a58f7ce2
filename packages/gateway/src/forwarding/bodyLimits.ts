import type { HeldMemory } from "@ibislanding/core";

/** Limits on the body of one request. */
export interface BodyLimits {
    readonly maximumBytes: number;
    readonly memory: HeldMemory;
    /** Parts of the body, of which each costs processor time, however small it is. */
    readonly parts: HeldMemory;
}
