import type { Clock } from "@ibislanding/core";
import type { ConfirmationAge } from "./confirmationAge";
import { createConfirmationAge } from "./createConfirmationAge";
import type { DocumentAges } from "./documentAges";

/**
 * Creates the ages of sets that were never confirmed.
 *
 * Handles hosts that hear of changes through others, of which each may hear late: an age is passed on with the time that this took,
 * so that each host knows how old its sets may be, however long the chain is. A peer that has no newer set confirms the own one as of
 * the time at which its own was confirmed.
 */
export const createDocumentAges = (clock: Clock, sets: readonly string[]): DocumentAges => {
    const ages = new Map<string, ConfirmationAge>(sets.map(set => [set, createConfirmationAge(clock)]));
    return {
        ageMs: set => ages.get(set)?.ageMs() ?? Infinity,
        newestAgeMs: set => ages.get(set)?.newestAgeMs() ?? Infinity,
        all: () => new Map([...ages].map(([set, age]) => [set, age.ageMs()])),
        confirm: (set, agoMs) => ages.get(set)?.confirm(agoMs),
        supersede: newerSets => newerSets.forEach(set => ages.get(set)?.supersede()),
        observePeer: ({ positions, ages: reported }, reportedMsAgo, newerSets) =>
            ages.forEach((age, set) => {
                const reportedMs = reported?.[set];
                const [, revision] = positions[set] ?? [0, 0];
                if (reportedMs !== undefined && revision > 0 && !newerSets.includes(set)) {
                    age.confirm(reportedMs + reportedMsAgo);
                }
            }),
    };
};
