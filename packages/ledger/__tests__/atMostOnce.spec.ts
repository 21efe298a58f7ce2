import { type ClaimStrategy, confirmedClaimStrategy } from "@ibislanding/ledger";
import fc from "fast-check";
import { findViolations } from "./support/findViolations";
import { runScenario } from "./support/runScenario";
import type { Scenario } from "./support/scenario";
import { scenarioArbitrary } from "./support/scenarioArbitrary";

const seed = Number(process.env["IBIS_SEED"] ?? 20_261_203);
const numRuns = Number(process.env["IBIS_RUNS"] ?? 150);

/** Two hosts read an empty shard before its first commit, with a shift of the wall clock in between. */
const clockShiftBeforeFirstCommit: Scenario = {
    seed: 857_596_604,
    hostCount: 2,
    faultPercent: 0,
    attempts: [[19, 1, 0, 0], [60, 1, 0, 2], [2, 0, 1, 0], [22, 0, 0, 0], [28, 0, 0, 0], [0, 1, 0, 1]].map(
        ([atMs = 0, host = 0, account = 0, key = 0]) => ({ atMs, host, account, key, otherBody: false }),
    ),
    events: [
        { atMs: 0, host: 0, kind: "jumpClock" },
        { atMs: 48, host: 0, kind: "pause" },
        { atMs: 163, host: 0, kind: "jumpClock" },
    ],
};

const findFailure = async (strategy: ClaimStrategy): Promise<fc.RunDetails<[Scenario]>> =>
    fc.check(
        fc.asyncProperty(
            scenarioArbitrary,
            async scenario => findViolations(await runScenario(scenario, strategy)).length === 0,
        ),
        { seed, numRuns: 400, endOnFailure: true },
    );

describe("runAction with several hosts, faults, crashes and pauses", () => {
    it("runs each action at most once and never refuses an attempt that ran it", () =>
        fc.assert(
            fc.asyncProperty(scenarioArbitrary, async scenario => {
                expect(findViolations(await runScenario(scenario, confirmedClaimStrategy))).toEqual([]);
            }),
            { seed, numRuns, examples: [[clockShiftBeforeFirstCommit]] },
        ), 600_000);

    it("has one effect per key with a service that deduplicates", () =>
        fc.assert(
            fc.asyncProperty(scenarioArbitrary, async scenario => {
                const service = { repeatable: false, deduplicates: true };
                const history = await runScenario(scenario, confirmedClaimStrategy, service);
                expect(
                    findViolations({
                        ...history,
                        attempts: history.attempts.slice(history.firstFinalAttempt),
                        firstFinalAttempt: 0,
                    }),
                )
                    .toEqual([]);
            }),
            { seed, numRuns: Math.ceil(numRuns / 3) },
        ), 600_000);

    it("detects a duplicated action when the strategy sends before the claim is confirmed", async () => {
        const strategy = { ...confirmedClaimStrategy, maySend: () => true };
        expect((await findFailure(strategy)).failed).toBe(true);
    });

    it("detects a duplicated action when the strategy takes over old claims", async () => {
        const strategy = {
            ...confirmedClaimStrategy,
            mayReplace: (record: { readonly claimedAtMs: number; }, nowMs: number) => record.claimedAtMs + 100 < nowMs,
        };
        expect((await findFailure(strategy)).failed).toBe(true);
    });
});
