import type { ReplicaChoice } from "./replicaChoice";

/** A choice that the placement allows, with the price and capacity of one replica. */
export interface ReplicaOption {
    readonly choice: ReplicaChoice;
    readonly pricePerHour: number;
    readonly concurrentSequences: number;
    readonly prefillTokensPerSecond: number;
    /** Whether recent starts were refused; existing replicas of the option can still be kept. */
    readonly refused: boolean;
}
