import type { Deployment } from "./deployment";

/** Options of a system to start: the deployment, and the number of processes per program. */
export interface SystemOptions {
    readonly deployment: Deployment;
    readonly entries: number;
    readonly controls: number;
    readonly enginesPerZone: number;
    readonly distDirectory: string;
    /** Additional arguments of each engine stand-in. */
    readonly engineArgs: readonly string[];
    /** Additional arguments of the plain service stand-ins. */
    readonly serviceArgs: readonly string[];
}
