import type { ReplicaOption } from "./replicaOption";
import type { ServiceDemand } from "./serviceDemand";

/** Returns the number of replicas that carry the demand; all options must have the same capacity. */
export const replicasNeeded = (options: readonly ReplicaOption[], demand: ServiceDemand): number => {
    const [option] = options;
    return option === undefined ? 0 : Math.max(
        Math.ceil(demand.concurrentSequences / option.concurrentSequences),
        Math.ceil(demand.prefillTokensPerSecond / option.prefillTokensPerSecond),
    );
};
