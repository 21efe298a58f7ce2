import type { ReplicaChoice } from "./replicaChoice";

/** A choice that can be started, with its price and capacity. */
export interface ReplicaOption {
    readonly choice: ReplicaChoice;
    readonly pricePerHour: number;
    readonly concurrentSequences: number;
    readonly prefillTokensPerSecond: number;
    /** Whether recent starts were refused; replicas that exist already still count. */
    readonly refused: boolean;
}
