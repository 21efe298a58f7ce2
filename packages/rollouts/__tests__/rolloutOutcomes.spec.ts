// Guards against a bad version that is completed or receives too much, and against a good one that is rolled back, with the
// evidence and the states that hosts have: old, summed over all of them, and with few bad answers where requests are few.
import fc from "fast-check";
import { BOUNDS, type RolloutOutcome, type RolloutScenario, simulateRollout } from "./support/simulateRollout";

/** `ROLLOUT_RUNS` sets the number of sequences per test, `ROLLOUT_SEED` shifts the seeds. */
const RUNS = Number(process.env["ROLLOUT_RUNS"] ?? 12);
const SEED = 20_261_204 + Number(process.env["ROLLOUT_SEED"] ?? 0);
const TIMEOUT_MS = 60_000 + RUNS * 4_000;

const range = (min: number, max: number) => fc.integer({ min, max });

/** Rates are drawn by their order of magnitude, from 5 to 700 requests a second. */
const ratePerS = (min: number) => fc.double({ min: 0, max: 1, noNaN: true }).map(part => min * (700 / min) ** part);

const scenarios = (
    changes: { readonly [Key in keyof RolloutScenario]?: fc.Arbitrary<RolloutScenario[Key]>; },
): fc.Arbitrary<RolloutScenario> =>
    fc.record({
        seed: range(1, 2 ** 31 - 1),
        ratePerS: ratePerS(5),
        durationMs: range(12_000, 16_000),
        hosts: range(3, 8),
        upstreams: range(8, 40),
        routes: range(1, 3),
        fault: fc.constant<RolloutScenario["fault"]>("none"),
        commonShare: fc.double({ min: 0, max: 0.01, noNaN: true }),
        readyMs: range(0, 1_500),
        answerMs: range(100, 1_000),
        ...changes,
    });

const window = (lengths: fc.Arbitrary<number>) =>
    fc.tuple(range(0, 12_000), lengths).map(([fromMs, lengthMs]) => ({ fromMs, toMs: fromMs + lengthMs }));

const holderGap = window(range(1_000, 4_000)).filter(({ toMs }) => toMs < 10_500);

const describeFailure = (scenario: RolloutScenario, outcome: RolloutOutcome): string =>
    JSON.stringify({ ...scenario, ...outcome });

const findViolations = async (
    arbitrary: fc.Arbitrary<RolloutScenario>,
    expected: RolloutOutcome["phase"],
): Promise<readonly string[]> => {
    const violations: string[] = [];
    for (const scenario of fc.sample(arbitrary, { seed: SEED, numRuns: RUNS })) {
        const outcome = await simulateRollout(scenario);
        const isExposed = outcome.toTarget > BOUNDS.exposeShare * outcome.total + BOUNDS.exposeSlack
            || outcome.late > 0;
        const isEnded = outcome.phase === expected && outcome.endedAtMs < scenario.durationMs;
        if (!isEnded || expected === "rolled-back" && isExposed) {
            violations.push(describeFailure(scenario, outcome));
        }
    }
    return violations;
};

// The least rates are those from which half of the answers on a third of the requests are evidence in the time of an order.
test.each(
    [
        ["immediate", 5],
        ["slow", 5],
        ["load", 20],
        ["route", 30],
        ["late", 10],
    ] as const,
)(
    "a version that is bad (%s) is rolled back within the bounds, also if the duty holder changes",
    async (fault, minimum) => {
        const bad = { fault: fc.constant(fault), ratePerS: ratePerS(minimum) };
        expect(await findViolations(scenarios(bad), "rolled-back")).toEqual([]);
        expect(await findViolations(scenarios({ ...bad, holderGap }), "rolled-back")).toEqual([]);
    },
    TIMEOUT_MS,
);

// At 5 requests a second, 20 answers of the target with 4 bad ones expected can't be told from a bad version in a run of 20.
test.each([[0.05, 5], [0.2, 20]])("a good version is completed while %d of all answers fail", async (max, minimum) => {
    const common = { commonShare: fc.double({ min: 0, max, noNaN: true }), ratePerS: ratePerS(minimum) };
    expect(await findViolations(scenarios(common), "completed")).toEqual([]);
    expect(await findViolations(scenarios({ ...common, holderGap }), "completed")).toEqual([]);
}, TIMEOUT_MS);

test("trouble of all upstreams and the crash of one upstream are not attributed to the target", async () => {
    const trouble = fc.tuple(window(range(500, 4_500)), fc.double({ min: 0.3, max: 1, noNaN: true }), fc.boolean())
        .map(([times, share, isSlow]) => ({ ...times, share, isSlow }));
    expect(await findViolations(scenarios({ trouble }), "completed")).toEqual([]);
    expect(await findViolations(scenarios({ crashAtMs: range(2_000, 12_000) }), "completed")).toEqual([]);
}, TIMEOUT_MS);
