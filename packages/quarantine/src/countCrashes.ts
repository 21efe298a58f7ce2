import { crashOf } from "./crashOf";
import type { IdentifiedSuspect } from "./identifiedSuspect";
import type { RequestKeyOf } from "./requestKeyOf";

/** Crashes within this time of each other are one wave. */
const WAVE_MS = 300;

/**
 * Counts crashes at different times. Those of one wave count once, as a power failure ends many upstreams at once, except
 * for the crashes under one request, which runs on one upstream after the other.
 */
export const countCrashes = (suspects: readonly IdentifiedSuspect[], requestKeyOf: RequestKeyOf): number => {
    const waves = [...suspects]
        .sort((left, right) => left.crashedAtMs - right.crashedAtMs)
        .reduce<IdentifiedSuspect[][]>((groups, suspect) => {
            const [first] = groups.at(-1) ?? [];
            if (first !== undefined && suspect.crashedAtMs - first.crashedAtMs < WAVE_MS) {
                groups.at(-1)?.push(suspect);
                return groups;
            }
            return [...groups, [suspect]];
        }, []);
    return waves.reduce((sum, wave) => {
        const byRequest = new Map<unknown, Set<string>>();
        wave.forEach(suspect => {
            const crashes = byRequest.get(requestKeyOf(suspect)) ?? new Set();
            byRequest.set(requestKeyOf(suspect), crashes.add(crashOf(suspect)));
        });
        return sum + Math.max(...[...byRequest.values()].map(({ size }) => size));
    }, 0);
};
