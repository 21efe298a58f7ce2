import type { FaultStep } from "./faultStep";
import type { SoakWorld } from "./soakWorld";

/** Input of a fault handler. */
export interface FaultContext {
    readonly world: SoakWorld;
    readonly step: FaultStep;
    readonly sleep: (durationMs: number) => Promise<void>;
    /** Records a disturbance that lasts until the returned function is called; without a name it affects all hosts. */
    readonly startDisturbance: (hostName: string | undefined) => () => void;
}
