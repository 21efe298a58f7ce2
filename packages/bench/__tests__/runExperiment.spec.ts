import { type ExperimentResult, formatText, loadScenario, runExperiment, summarise } from "@ibislanding/bench";
import { createHasher } from "@ibislanding/core";
import type { RoutingPolicyName } from "@ibislanding/resources";

const SEEDS = [1, 2, 3];

const run = async (
    name: string,
    policy: RoutingPolicyName,
    changes: { readonly load?: number; readonly reclaimAtMs?: number; } = {},
): Promise<readonly ExperimentResult[]> => {
    const hasher = await createHasher();
    const scenario = loadScenario(`${__dirname}/../scenarios/${name}.toml`).unwrap();
    const [zone] = scenario.zones;
    const short = {
        ...scenario,
        durationMs: 30_000,
        warmUpMs: 15_000,
        requestsPerSecond: scenario.requestsPerSecond * (changes.load ?? 1),
        reclaims: changes.reclaimAtMs === undefined
            ? []
            : [{ atMs: changes.reclaimAtMs, availabilityZone: zone?.availabilityZone ?? "" }],
    };
    return SEEDS.map(seed => runExperiment(short, policy, "even", seed, hasher));
};

const sumOf = (results: readonly ExperimentResult[], read: (result: ExperimentResult) => number): number =>
    results.reduce((sum, result) => sum + read(result), 0);

describe("runExperiment", () => {
    it("returns equal results for equal seeds", async () => {
        expect(await run("cimenbilim", "cost-aware")).toEqual(await run("cimenbilim", "cost-aware"));
    });

    it("recomputes less than half as many tokens on long histories as least-loaded routing", async () => {
        const [costAware, leastLoaded] = [
            await run("federation", "cost-aware"),
            await run("federation", "least-loaded"),
        ];
        expect(sumOf(costAware, ({ recomputedTokens }) => recomputedTokens))
            .toBeLessThan(sumOf(leastLoaded, ({ recomputedTokens }) => recomputedTokens) / 2);
    });

    it("keeps high-priority traffic within target under overload, unlike routing that refuses no requests", async () => {
        const inTarget = (results: readonly ExperimentResult[]): number =>
            sumOf(results, result => result.highPriorityTargetShare) / results.length;
        expect(inTarget(await run("cimenbilim", "cost-aware", { load: 2.5 }))).toBeGreaterThan(0.9);
        expect(inTarget(await run("cimenbilim", "least-loaded", { load: 2.5 }))).toBeLessThan(0.9);
    });

    it("moves the requests of a reclaimed zone and reports their number", async () => {
        const results = await run("federation", "cost-aware", { reclaimAtMs: 18_000 });
        expect(sumOf(results, ({ movedRequests }) => movedRequests)).toBeGreaterThan(0);
        expect(formatText("reclaim", summarise(results))).toContain("movedRequests");
    });
});
