import type { Clock } from "@ibislanding/core";
import { type DocumentPosition, isNewerPosition } from "@ibislanding/discovery";
import type { ConfirmationAge } from "./confirmationAge";
import { createConfirmationAge } from "./createConfirmationAge";
import type { DocumentAges } from "./documentAges";

/** Positions of a set that are remembered until the set was fetched; several peers may have different ones. */
const MAXIMUM_AWAITED = 4;

interface AwaitedPosition {
    readonly position: DocumentPosition;
    readonly age: ConfirmationAge;
}

/**
 * Creates the ages of sets that were never confirmed.
 *
 * Handles hosts that hear of changes through others, of which each may hear late: an age is passed on with the time that this took,
 * so that each host knows how old its sets may be, however long the chain is. A peer that has no newer set confirms the own one as of
 * the time at which its own was confirmed; a newer one does so once it was fetched.
 */
export const createDocumentAges = (clock: Clock, sets: readonly string[]): DocumentAges => {
    const ages = new Map<string, ConfirmationAge>(sets.map(set => [set, createConfirmationAge(clock)]));
    /** What peers reported of newer sets than the own ones, the last heard of at the end. */
    const awaited = new Map<string, readonly AwaitedPosition[]>();

    const awaitPosition = (set: string, position: DocumentPosition, agoMs: number): void => {
        const known = awaited.get(set) ?? [];
        const same = known.find(({ position: { epoch, revision } }) =>
            epoch === position.epoch && revision === position.revision
        );
        const { age } = same ?? { age: createConfirmationAge(clock) };
        age.confirm(agoMs);
        if (same === undefined) {
            awaited.set(set, [...known, { position, age }].slice(-MAXIMUM_AWAITED));
        }
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
            const known = awaited.get(set) ?? [];
            known.filter(next => !isNewerPosition(next.position, position)).forEach(({ age }) =>
                ages.get(set)?.confirm(age.ageMs())
            );
            awaited.set(set, known.filter(next => isNewerPosition(next.position, position)));
        },
    };
};
