import type { CrashingPart } from "./crashingPart";
import type { CrashSuspect } from "./crashSuspect";

/** Crashes within this time of each other count once: a power failure ends many upstreams at once. */
const WAVE_MS = 300;

/**
 * Time from the last crash until a part is blamed on which answers have gone on before: an answer that has begun since
 * then clears it, and takes a second to go on and another to be heard of.
 */
const CLEARABLE_MS = 2_000;

interface Accusation extends CrashingPart {
    readonly lastCrashAtMs: number;
    readonly wasCleared: boolean;
    /** Suspects that contain the part; the crashing part itself is rarer than the parts that it is combined with. */
    readonly suspects: number;
    /** Number of parts that precede it. */
    readonly depth: number;
}

/** Returns the times of the first crash of each wave. */
const waveTimes = (crashTimesMs: readonly number[]): readonly number[] =>
    [...crashTimesMs].sort((left, right) => left - right).reduce<readonly number[]>(
        (waves, atMs) => atMs - (waves.at(-1) ?? -Infinity) < WAVE_MS ? waves : [...waves, atMs],
        [],
    );

const accuse = (partId: string, suspects: readonly CrashSuspect[], clearedAtMs: number): Accusation => {
    const containing = suspects.filter(({ partIds }) => partIds.includes(partId));
    const crashTimesMs = containing.map(({ crashedAtMs }) => crashedAtMs).filter(atMs => atMs > clearedAtMs);
    const waves = waveTimes(crashTimesMs);
    return {
        partId,
        crashes: waves.length,
        firstCrashAtMs: waves[0] ?? Infinity,
        lastCrashAtMs: Math.max(...crashTimesMs),
        wasCleared: clearedAtMs > -Infinity,
        suspects: containing.length,
        depth: Math.max(...containing.map(({ partIds }) => partIds.indexOf(partId))),
    };
};

/** Orders accusations by how well they explain the crashes; the best one comes first. */
const compareAccusations = (left: Accusation, right: Accusation): number =>
    right.crashes - left.crashes
    || Number(left.wasCleared) - Number(right.wasCleared)
    || left.suspects - right.suspects
    || right.depth - left.depth;

/**
 * Returns the prompt part to which the crashes are attributed, if the evidence suffices.
 *
 * Handles requests that crash each upstream that begins to answer them, while they share all but one part with sound
 * requests, and while upstreams also crash for other reasons with sound requests in flight. A part is blamed for crashes
 * only if no answer on it has gone on since the first of them. Parts that always occurred together explain the same
 * crashes; the most specific one is blamed, as the others are shared with more requests.
 *
 * `suspects` must not contain requests with a part that has been blamed already: it explains their crashes.
 * `clearedAtMs` returns the time at which the last answer on a part that went on had begun.
 */
export const findCrashingPart = (
    suspects: readonly CrashSuspect[],
    clearedAtMs: (partId: string) => number,
    crashesToBlame: (partId: string) => number,
    nowMs: number,
): CrashingPart | undefined => {
    const partIds = [...new Set(suspects.flatMap(suspect => suspect.partIds))];
    const [best] = partIds
        .map(partId => accuse(partId, suspects, clearedAtMs(partId)))
        .filter(({ partId, crashes }) => crashes >= crashesToBlame(partId))
        .filter(({ wasCleared, lastCrashAtMs }) => !wasCleared || nowMs - lastCrashAtMs >= CLEARABLE_MS)
        .sort(compareAccusations);
    if (best === undefined) {
        return undefined;
    }
    const { partId, crashes, firstCrashAtMs } = best;
    return { partId, crashes, firstCrashAtMs };
};
