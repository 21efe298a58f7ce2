// The load is twice what 34 engines with 16 slots serve, for six seconds, at 82 hosts in 6 zones whose reports are 0.05 to 2 s
// old: prompts of 9,190, 2,368 and 715 tokens, three urgencies, 16 accounts of unequal size. Refused clients return once, 40 %
// of them without waiting for their time.
import { type OverloadCase, replayOverload } from "./support/replayOverload";

const TWICE: OverloadCase = {
    hosts: 82,
    engines: 34,
    loadAt: s => s >= 6 && s < 12 ? 2 : 0.7,
    durationS: 15,
    ageMs: [50, 1_400],
    impatientReturns: 1,
    usesLevel: false,
    usesCalendar: false,
    returnsToSameHost: false,
};

const CASES: Readonly<Record<string, Partial<OverloadCase>>> = {
    twice: {},
    "light (0.7)": { loadAt: () => 0.7 },
    "busy (0.9)": { loadAt: () => 0.9 },
    "reports of 3 s": { ageMs: [3_000, 3_000] },
    "five returns at once": { impatientReturns: 5 },
    "a collector dies": { silentZone: [7, 11] },
    "all hosts restart": { restartS: 8 },
    "12 hosts": { hosts: 12, engines: 6 },
};

type Run = Awaited<ReturnType<typeof replayOverload>>;

const inTimeUnits = (run: Run): number => run.outcomesOf(() => true).inTimeUnits;
const inTimeByUrgency = (run: Run): readonly number[] =>
    [0, 1, 2].map(urgency => run.outcomesOf(client => client.urgency === urgency).inTime);
const servedByUrgency = (run: Run): readonly number[] =>
    [0, 1, 2].map(urgency => run.outcomesOf(client => client.urgency === urgency).served);

// Guards against hosts that send what reports of a second ago let them expect to be in time: the engines' queues are then full
// of requests that are all late, and the most urgent ones, whose objectives are shortest, fare worst.
test("at twice the load, the level serves more in time, and urgent requests first", async () => {
    const [without, withLevel] = await Promise.all(
        [false, true].map(usesLevel => replayOverload({ ...TWICE, durationS: 12, usesLevel }, 1)),
    ) as [Run, Run];
    expect(inTimeUnits(withLevel)).toBeGreaterThan(inTimeUnits(without) * 1.2);
    expect(inTimeByUrgency(withLevel)[0]).toBeGreaterThan((inTimeByUrgency(without)[0] ?? 0) * 1.8);
    const [first = 0, second = 0, third = 0] = servedByUrgency(withLevel);
    expect(first).toBeGreaterThan(second);
    expect(second).toBeGreaterThan(third - 0.02);
    // The size of a prompt decides less on its refusal than without a level.
    const servedOf = (tokens: number): number => withLevel.outcomesOf(client => client.tokens === tokens).served;
    expect(servedOf(9_190)).toBeGreaterThan(servedOf(715) * 0.85);
    // The smallest account is served at least as often as the largest.
    const servedBy = (account: number): number => withLevel.outcomesOf(client => client.account === account).served;
    expect(servedBy(15)).toBeGreaterThan(servedBy(0) - 0.03);
}, 300_000);

// Guards against a level that refuses although there is capacity, and against one that changes small groups.
test("in a small group nothing changes", async () => {
    const of = { ...TWICE, ...CASES["12 hosts"], durationS: 9 };
    const [without, withLevel] = await Promise.all(
        [false, true].map(usesLevel => replayOverload({ ...of, usesLevel }, 1)),
    ) as [Run, Run];
    expect(withLevel.refusedByLevel).toBe(0);
    expect(withLevel.outcomesOf(() => true)).toEqual(without.outcomesOf(() => true));
}, 300_000);

// Guards against callers of the least urgent kind that get nothing for seconds, as the more urgent ones use all of a capacity
// that is lowest when the engines' queues are full. They need a quarter of the share that all requests get.
test("in a long overload, the least urgent kind is served in each two seconds", async () => {
    const loadAt = (s: number): number => s >= 4 ? 2 : 0.7;
    const run = await replayOverload({ ...TWICE, loadAt, durationS: 16, usesLevel: true, usesCalendar: true }, 1);
    // Clients that arrive later may return after the end of the replay.
    [4, 6, 8, 10, 12].forEach(s => {
        const isThen = ({ arrivedAtMs }: { readonly arrivedAtMs: number; }): boolean =>
            arrivedAtMs >= s * 1_000 && arrivedAtMs < (s + 2) * 1_000;
        const least = run.outcomesOf(client => isThen(client) && client.urgency === 2);
        expect(least.count).toBeGreaterThan(100);
        expect(least.served).toBeGreaterThan(run.outcomesOf(isThen).served / 4);
    });
}, 300_000);

// Guards against a level that prolongs itself: what it refuses is unserved demand, which keeps the service saturated whenever
// a host has seen a few long waits.
test("five seconds after the return of a third of the engines, the level admits nearly everything", async () => {
    const of = { loadAt: () => 0.7, lostEnginesS: [6, 12], durationS: 20 } as const;
    const run = await replayOverload({ ...TWICE, ...of, usesLevel: true, usesCalendar: true }, 1);
    expect(run.refusedByLevel).toBeGreaterThan(0);
    const later = run.outcomesOf(({ arrivedAtMs }) => arrivedAtMs >= 17_000);
    expect(later.count).toBeGreaterThan(500);
    expect(run.levelRefusalsSince(17)).toBeLessThan(later.count * 0.03);
}, 300_000);

const describeRun = (run: Run): string => {
    const cell = (selects: Parameters<Run["outcomesOf"]>[0]): string => {
        const { inTime, served } = run.outcomesOf(selects);
        return `${inTime.toFixed(3)}/${served.toFixed(3)}`;
    };
    const by = (values: readonly number[], key: "urgency" | "tokens" | "account"): string =>
        values.map(value => cell(client => client[key] === value)).join(" ");
    return [
        `in time/served ${cell(() => true)}, units in time ${(inTimeUnits(run) / 1e6).toFixed(2)}M`,
        `urgency ${by([0, 1, 2], "urgency")}; size ${by([9_190, 2_368, 715], "tokens")}`,
        `account ${by([0, 1, 4, 15], "account")}; refused by level ${run.refusedByLevel}, claimed ${run.claimed}`,
        `returns in time ${cell(client => !client.isImpatient)}, at once ${cell(client => client.isImpatient)}`,
        `decision ${run.decisionUs.toFixed(1)} us`,
    ].join("\n  ");
};

const POLICIES: Readonly<Record<string, Partial<OverloadCase>>> = {
    "without": {},
    "level": { usesLevel: true },
    "level and calendar": { usesLevel: true, usesCalendar: true },
    "level and calendar, return to the same host": { usesLevel: true, usesCalendar: true, returnsToSameHost: true },
};

const figures = process.env["OVERLOAD"];
const selected = process.env["OVERLOAD_CASES"]?.split(",");
const policies = process.env["OVERLOAD_POLICIES"]?.split(",");

(figures === undefined ? test.skip : test)("figures of the cases", async () => {
    const seeds = (figures ?? "").split(",").map(Number);
    for (const [name, of] of Object.entries(CASES).filter(([key]) => selected?.includes(key) ?? true)) {
        for (const [policy, uses] of Object.entries(POLICIES).filter(([key]) => policies?.includes(key) ?? true)) {
            for (const seed of seeds) {
                const run = await replayOverload({ ...TWICE, ...of, ...uses }, seed);
                process.stdout.write(`${name}, ${policy}, seed ${seed}\n  ${describeRun(run)}\n`);
            }
        }
    }
}, 3_000_000);
