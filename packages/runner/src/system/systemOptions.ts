import type { Deployment } from "./deployment";

/** Size of a system to start. */
export interface SystemOptions {
    readonly deployment: Deployment;
    readonly entries: number;
    readonly controls: number;
    readonly enginesPerZone: number;
    readonly distDirectory: string;
    /** Further arguments of each engine stand-in. */
    readonly engineArgs: readonly string[];
    /** Further arguments of the plain service stand-in. */
    readonly serviceArgs: readonly string[];
}
