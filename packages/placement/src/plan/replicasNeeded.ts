import type { ReplicaOption } from "./replicaOption";
import type { ServiceDemand } from "./serviceDemand";

/** Returns how many replicas of the options' machine class carry the demand. */
export const replicasNeeded = (options: readonly ReplicaOption[], demand: ServiceDemand): number => {
    const [option] = options;
    return option === undefined ? 0 : Math.max(
        Math.ceil(demand.concurrentSequences / option.concurrentSequences),
        Math.ceil(demand.prefillTokensPerSecond / option.prefillTokensPerSecond),
    );
};
