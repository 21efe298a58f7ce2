import type { ExperimentResult } from "../simulation/experimentResult";

/** Measures shown in reports, by name, each with a function that reads it from a result. */
export const measures: Readonly<Record<string, (result: ExperimentResult) => number>> = {
    recomputedTokens: ({ recomputedTokens }) => recomputedTokens,
    neededTokens: ({ neededTokens }) => neededTokens,
    firstTokenMsP50: ({ firstTokenMsP50 }) => firstTokenMsP50,
    firstTokenMsP95: ({ firstTokenMsP95 }) => firstTokenMsP95,
    firstTokenMsP99: ({ firstTokenMsP99 }) => firstTokenMsP99,
    targetShare: ({ targetShare }) => targetShare,
    highPriorityTargetShare: ({ highPriorityTargetShare }) => highPriorityTargetShare,
    goodputPerSecond: ({ goodputPerSecond }) => goodputPerSecond,
    refusedShare: ({ refusedRequests, offeredRequests }) => refusedRequests / offeredRequests,
    movedRequests: ({ movedRequests }) => movedRequests,
    costPerHour: ({ costPerHour }) => costPerHour,
};
