/** Load that the replicas of a service must carry together. */
export interface ServiceDemand {
    readonly concurrentSequences: number;
    readonly prefillTokensPerSecond: number;
}
