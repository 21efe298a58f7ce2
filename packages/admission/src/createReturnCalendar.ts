import type { RandomSource } from "@ibislanding/core";
import type { ReturnCalendar } from "./returnCalendar";

/** Length of a step of the calendar. */
const STEP_MS = 100;

/** Least time until a place: a client that returns earlier finds the load that it was refused for. */
const MINIMUM_WAIT_MS = 200;

/** Time after a place for which it can be claimed: a round trip, and the accuracy of the client's timer. */
const GRACE_MS = 400;

/** Places that are kept; a host that refuses more has none left for the time that clients wait. */
const MAXIMUM_PLACES = 2_000;

/** Part of the time until the latest return from which on requests without a place return. */
const LATE_SHARE = 0.5;

/** Weight of the newest place in the share of places that were claimed. */
const CLAIM_WEIGHT = 0.05;

interface Place {
    readonly atMs: number;
    /** Units that it takes of each step. */
    readonly parts: readonly (readonly [step: number, units: number])[];
}

const stepOf = (timeMs: number): number => Math.floor(timeMs / STEP_MS);

/**
 * Creates a calendar without places.
 *
 * Handles requests that are refused at the same moment and would return at the same moment. Clients that are spread over many
 * hosts claim few of their places at the host that refused them; the share that they claim decides how much is held for them.
 */
export const createReturnCalendar = (random: Pick<RandomSource, "nextFloat">): ReturnCalendar => {
    const places = new Map<string, Place>();
    const unitsByStep = new Map<number, number>();
    let claimedShare = 0;
    let expiredAtMs = -Infinity;

    const add = (step: number, units: number): void => {
        const sum = (unitsByStep.get(step) ?? 0) + units;
        if (sum > 0) {
            unitsByStep.set(step, sum);
        }
        else {
            unitsByStep.delete(step);
        }
    };

    const remove = (requestId: string): void => {
        places.get(requestId)?.parts.forEach(([step, units]) => add(step, -units));
        places.delete(requestId);
    };

    const recordEnd = (requestId: string, isClaimed: boolean): void => {
        remove(requestId);
        claimedShare += ((isClaimed ? 1 : 0) - claimedShare) * CLAIM_WEIGHT;
    };

    const removeExpired = (nowMs: number): void => {
        if (nowMs - expiredAtMs >= STEP_MS) {
            expiredAtMs = nowMs;
            [...places].filter(([, { atMs }]) => atMs + GRACE_MS < nowMs).forEach(([requestId]) =>
                recordEnd(requestId, false)
            );
        }
    };

    /** Divides the units among steps from the first one with room on; a large request takes several. */
    const divide = (units: number, unitsPerStep: number, first: number, last: number): Place["parts"] => {
        const parts: (readonly [number, number])[] = [];
        let rest = units;
        for (let step = first; rest > 0 && step <= last; step++) {
            const part = Math.min(rest, unitsPerStep - (unitsByStep.get(step) ?? 0));
            if (part > 0) {
                parts.push([step, part]);
                rest -= part;
            }
        }
        return parts;
    };

    return {
        reserve: ({ requestId, units, unitsPerStep }, nowMs, latestMs) => {
            removeExpired(nowMs);
            remove(requestId);
            const first = stepOf(nowMs + MINIMUM_WAIT_MS) + 1;
            const parts = places.size < MAXIMUM_PLACES && unitsPerStep > 0
                ? divide(units, unitsPerStep, first, stepOf(latestMs) - 1)
                : [];
            const step = parts[0]?.[0];
            if (step === undefined) {
                const lateMs = (latestMs - nowMs) * (LATE_SHARE + (1 - LATE_SHARE) * random.nextFloat());
                return nowMs + lateMs;
            }
            const atMs = (step + random.nextFloat()) * STEP_MS;
            places.set(requestId, { atMs, parts });
            parts.forEach(([partStep, partUnits]) => add(partStep, partUnits));
            return atMs;
        },
        claim: (requestId, nowMs) => {
            removeExpired(nowMs);
            const place = places.get(requestId);
            if (place === undefined || nowMs < place.atMs) {
                return false;
            }
            recordEnd(requestId, true);
            return true;
        },
        promised: nowMs => (unitsByStep.get(stepOf(nowMs)) ?? 0) * claimedShare,
        hasPlaces: () => places.size > 0,
    };
};
