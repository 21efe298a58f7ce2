import type { ExperimentResult } from "../simulation/experimentResult";
import { measures } from "./measures";
import type { PolicySummary } from "./policySummary";

const toSpread = (values: readonly number[]): { median: number; minimum: number; maximum: number; } => {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = Math.floor(sorted.length / 2);
    const median = sorted.length % 2 === 1
        ? sorted[middle] ?? 0
        : ((sorted[middle - 1] ?? 0) + (sorted[middle] ?? 0)) / 2;
    return { median, minimum: sorted[0] ?? 0, maximum: sorted[sorted.length - 1] ?? 0 };
};

/** Aggregates the results of each policy over its seeds, in order of first occurrence of the policies. */
export const summarise = (results: readonly ExperimentResult[]): readonly PolicySummary[] =>
    [...new Set(results.map(({ policy }) => policy))].map(policy => {
        const policyResults = results.filter(result => result.policy === policy);
        return {
            policy,
            runs: policyResults.length,
            measures: Object.fromEntries(
                Object.entries(measures).map(([name, read]) => [name, toSpread(policyResults.map(read))]),
            ),
        };
    });
