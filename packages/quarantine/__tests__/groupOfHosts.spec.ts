// Guards the promise over all hosts: after five crashes under one prompt part, at most three more requests with it reach
// upstreams, and no part of sound requests is quarantined, whatever else crashes meanwhile.
import { type GroupOptions, simulateGroup } from "./support/simulateGroup";

/** Seeds of each case; `QUARANTINE_SEEDS` sets another number for a long run. */
const SEEDS = Number(process.env["QUARANTINE_SEEDS"] ?? 12);

const CRASHES = 5;
const CONTACT_MS = 4_000;
const MAXIMUM_ARRIVALS = 3;

const SMALL: Omit<GroupOptions, "seed"> = {
    hosts: 8,
    engines: 12,
    soundPerS: 30,
    crashingPerS: 1,
    crashingParts: ["bad"],
    ownCrashesPerS: 0.2,
    waveIntervalMs: 10_000,
    spreadMs: 600,
    durationMs: 40_000,
};

const LARGE: Omit<GroupOptions, "seed"> = {
    ...SMALL,
    hosts: 195,
    engines: 55,
    soundPerS: 200,
    spreadMs: 1_600,
    durationMs: 20_000,
};

const CASES: readonly (readonly [string, Omit<GroupOptions, "seed">, number])[] = [
    ["8 hosts", SMALL, SEEDS],
    ["8 hosts, two parts at once", { ...SMALL, crashingParts: ["bad", "worse"] }, SEEDS],
    ["8 hosts, a burst of crashes", { ...SMALL, crashingPerS: 8 }, SEEDS],
    ["8 hosts, one request in eight seconds", { ...SMALL, crashingPerS: 0.12, durationMs: 120_000 }, SEEDS / 2],
    ["8 hosts, crashes for other reasons only", { ...SMALL, crashingParts: [], ownCrashesPerS: 0.5 }, SEEDS],
    ["195 hosts", LARGE, Math.ceil(SEEDS / 20)],
    [
        "195 hosts, crashes for other reasons only",
        { ...LARGE, crashingParts: [], ownCrashesPerS: 1 },
        Math.ceil(SEEDS / 20),
    ],
];

test.each(CASES)("quarantines crashing parts in time, and no others: %s", (_, options, seeds) => {
    const broken = Array.from({ length: seeds }, (_unused, seed) => {
        const result = simulateGroup({ ...options, seed });
        const late = options.crashingParts.map(part => {
            const fifthAtMs = result.crashTimesMs.get(part)?.[CRASHES - 1] ?? Infinity;
            return (result.arrivalTimesMs.get(part) ?? []).filter(atMs => atMs > fifthAtMs + CONTACT_MS).length;
        });
        const blamed = [...new Set(result.quarantined)].filter(part => !options.crashingParts.includes(part));
        return { seed, late, blamed, soundRefused: result.soundRefused };
    }).filter(({ late, blamed }) => blamed.length > 0 || late.some(count => count > MAXIMUM_ARRIVALS));
    expect(broken).toEqual([]);
});
