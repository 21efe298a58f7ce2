import type { Clock } from "@ibislanding/core";
import { type DocumentPosition, isNewerPosition } from "@ibislanding/discovery";
import type { ConfirmationAge } from "./confirmationAge";
import { createConfirmationAge } from "./createConfirmationAge";
import type { DocumentAges } from "./documentAges";

/**
 * Creates the ages of sets that were never confirmed.
 *
 * Handles hosts that hear of changes through others, of which each may hear late: an age is passed on with the time that this took,
 * so that each host knows how old its sets may be, however long the chain is. A peer that has no newer set confirms the own one as of
 * the time at which its own was confirmed; a newer one does so once it was fetched.
 */
export const createDocumentAges = (clock: Clock, sets: readonly string[]): DocumentAges => {
    const ages = new Map<string, ConfirmationAge>(sets.map(set => [set, createConfirmationAge(clock)]));
    /** Newest position of each set that a peer has reported and this host did not have. */
    const awaited = new Map<string, { readonly position: DocumentPosition; readonly age: ConfirmationAge; }>();

    const awaitPosition = (set: string, position: DocumentPosition, agoMs: number): void => {
        const known = awaited.get(set);
        if (known !== undefined && isNewerPosition(known.position, position)) {
            return;
        }
        const isSame = known !== undefined && !isNewerPosition(position, known.position);
        const next = isSame ? known : { position, age: createConfirmationAge(clock) };
        next.age.confirm(agoMs);
        awaited.set(set, next);
    };

    return {
        ageMs: set => ages.get(set)?.ageMs() ?? Infinity,
        newestAgeMs: set => ages.get(set)?.newestAgeMs() ?? Infinity,
        all: () => new Map([...ages].map(([set, age]) => [set, age.ageMs()])),
        confirm: (set, agoMs) => ages.get(set)?.confirm(agoMs),
        supersede: newerSets => newerSets.forEach(set => ages.get(set)?.supersede()),
        observePeer: ({ positions, ages: reported }, reportedMsAgo, newerSets) =>
            ages.forEach((age, set) => {
                const reportedMs = reported?.[set];
                const [epoch, revision] = positions[set] ?? [0, 0];
                if (reportedMs === undefined || revision <= 0) {
                    return;
                }
                if (newerSets.includes(set)) {
                    awaitPosition(set, { epoch, revision }, reportedMs + reportedMsAgo);
                }
                else {
                    age.confirm(reportedMs + reportedMsAgo);
                }
            }),
        reach: (set, position) => {
            const next = awaited.get(set);
            if (next !== undefined && !isNewerPosition(next.position, position)) {
                awaited.delete(set);
                ages.get(set)?.confirm(next.age.ageMs());
            }
        },
    };
};
