import type { FaultStep } from "./faultStep";
import type { SoakWorld } from "./soakWorld";

/** What the handler of a fault works on. */
export interface FaultContext {
    readonly world: SoakWorld;
    readonly step: FaultStep;
    readonly sleep: (durationMs: number) => Promise<void>;
    /** Notes a disturbance of a host, or of the store for all when no name is given, until the function is called. */
    readonly startDisturbance: (hostName: string | undefined) => () => void;
}
