/** Total load that the replicas of a service must carry. */
export interface ServiceDemand {
    readonly concurrentSequences: number;
    readonly prefillTokensPerSecond: number;
}
