import type { UpstreamId } from "@ibislanding/core";
import { defaultMembershipPolicy, type MembershipPolicy } from "@ibislanding/membership";
import fc from "fast-check";
import { createSimulation, type SimulationOptions } from "./simulation/createSimulation";

const PROPERTY_OPTIONS = { seed: 20261, numRuns: 12 };
const SETTLE_MS = 20_000;

type Simulation = ReturnType<typeof createSimulation>;
type Node = Simulation["nodes"][number];

const policyWith = (changes: Partial<MembershipPolicy>): MembershipPolicy => ({
    ...defaultMembershipPolicy,
    ...changes,
});

const createSettledSimulation = (options: SimulationOptions): Simulation => {
    const simulation = createSimulation(options);
    simulation.advance(SETTLE_MS);
    return simulation;
};

const isRemovedEverywhere = (simulation: Simulation, removedNodes: readonly Node[]) => (): boolean =>
    simulation.runningNodes().every(viewer =>
        removedNodes.every(node => ["dead", undefined].includes(simulation.stateOf(viewer, node)))
    );

/** Advances in steps of 50 ms; sums up, over all steps, how many running processes see each subject in the state. */
const countSightings = (
    simulation: Simulation,
    durationMs: number,
    state: "suspect" | "dead",
    subjects: readonly Node[],
): number =>
    Array.from({ length: durationMs / 50 }).reduce<number>(sum => {
        simulation.advance(50);
        const seen = simulation.runningNodes().flatMap(viewer =>
            subjects.filter(node => node !== viewer && simulation.stateOf(viewer, node) === state)
        );
        return sum + seen.length;
    }, 0);

const simulationOptions = fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    size: fc.constantFrom(8, 12, 24),
    lossRate: fc.constantFrom(0, 0.01),
});

const publishLeaving = (simulation: Simulation, node: Node): void =>
    simulation.dispatch(node, {
        type: "noticePublished",
        notice: {
            upstreamId: "engine-1" as UpstreamId,
            kind: "leaving",
            observedAtMs: simulation.wallMs(),
            reportedBy: node.state.self.hostId,
        },
    });

describe("failure detection", () => {
    it.each(["killed", "silent"] as const)("removes a %s process everywhere within 5 s, and no other", condition => {
        fc.assert(
            fc.property(simulationOptions, options => {
                const simulation = createSettledSimulation(options);
                const [victim, ...others] = simulation.nodes as [Node, ...Node[]];
                victim.condition = condition;
                const tookMs = simulation.advanceUntil(isRemovedEverywhere(simulation, [victim]), 5_000);
                expect(tookMs).toBeDefined();
                expect(countSightings(simulation, 5_000, "dead", others)).toBe(0);
            }),
            PROPERTY_OPTIONS,
        );
    });

    const failZone = (options: SimulationOptions): { readonly tookMs?: number; readonly suspicions: number; } => {
        const simulation = createSettledSimulation({ lossRate: 0.03, ...options });
        const failedNodes = simulation.nodes.filter(node => node.zone === "zone-b");
        const survivors = simulation.nodes.filter(node => !failedNodes.includes(node));
        failedNodes.forEach(node => {
            node.condition = "silent";
        });
        const suspicions = countSightings(simulation, 8_000, "suspect", survivors);
        return { tookMs: simulation.advanceUntil(isRemovedEverywhere(simulation, failedNodes), 0), suspicions };
    };

    it("survives a zone failure without suspicions of survivors, which occur if no confirmation is required", () => {
        const seeds = [1, 2, 3, 4, 5, 6];
        const withConfirmations = seeds.map(seed => failZone({ seed, size: 15 }));
        expect(withConfirmations.every(({ tookMs }) => tookMs !== undefined)).toBe(true);
        expect(withConfirmations.map(run => run.suspicions)).toEqual(seeds.map(() => 0));
        const policy = policyWith({ justifiesSuspicion: () => true });
        const withoutConfirmations = seeds.map(seed => failZone({ seed, size: 15, policy }).suspicions);
        expect(Math.max(...withoutConfirmations)).toBeGreaterThan(0);
    });

    /** Pauses a process repeatedly, so that some of its probes time out during a pause. */
    const pauseRepeatedly = (seed: number, pausedMs: number, policy?: MembershipPolicy): number => {
        const simulation = createSettledSimulation({ seed, size: 12, policy });
        const [paused, ...others] = simulation.nodes as [Node, ...Node[]];
        return Array.from({ length: 8 }).reduce<number>(sum => {
            paused.condition = "paused";
            const whilePaused = countSightings(simulation, pausedMs, "suspect", others);
            simulation.resume(paused);
            simulation.advance(30);
            return sum + whilePaused;
        }, 0);
    };

    it("keeps a paused process from suspecting others, unless it ignores the delay of its timer", () => {
        const pauses = fc.tuple(fc.integer({ min: 1, max: 1_000_000 }), fc.integer({ min: 14, max: 80 }));
        fc.assert(
            fc.property(pauses, ([seed, count]) => {
                expect(pauseRepeatedly(seed, count * 50)).toBe(0);
            }),
            PROPERTY_OPTIONS,
        );
        const policy = policyWith({ pauseMs: () => 0, justifiesSuspicion: () => true });
        const withoutCompensation = [14, 20, 30, 60].map(count => pauseRepeatedly(7, count * 50, policy));
        expect(Math.max(...withoutCompensation)).toBeGreaterThan(0);
    });

    const isolateOne = (policy?: MembershipPolicy): number => {
        const simulation = createSettledSimulation({ seed: 5, size: 12, policy });
        const [isolated, ...others] = simulation.nodes as [Node, ...Node[]];
        simulation.partition((from, to) => from === isolated || to === isolated);
        simulation.advance(6_000);
        return others.filter(node => simulation.stateOf(isolated, node) !== "alive").length;
    };

    it("keeps an isolated process from suspecting all others, which it does if no confirmation is required", () => {
        expect(isolateOne()).toBe(0);
        expect(isolateOne(policyWith({ justifiesSuspicion: () => true }))).toBeGreaterThan(8);
    });

    const partitionBriefly = (policy?: MembershipPolicy): number => {
        const simulation = createSettledSimulation({ seed: 11, size: 12, policy });
        const [partitionedNode] = simulation.nodes as [Node];
        simulation.partition((from, to) => from === partitionedNode || to === partitionedNode);
        simulation.advance(2_200);
        simulation.partition(() => false);
        return countSightings(simulation, 5_000, "dead", [partitionedNode]);
    };

    it("lets a suspected process refute in time, which requires a higher incarnation", () => {
        expect(partitionBriefly()).toBe(0);
        expect(partitionBriefly(policyWith({ refutingIncarnation: incarnation => incarnation }))).toBeGreaterThan(0);
    });

    it("declares a leaving process dead only after the suspicion timeout without a response", () => {
        const simulation = createSettledSimulation({ seed: 13, size: 12 });
        const [leaving] = simulation.nodes as [Node];
        simulation.dispatch(leaving, { type: "leaveRequested" });
        simulation.advance(1_000);
        simulation.partition((from, to) => from === leaving || to === leaving);
        const whilePartitioned = countSightings(simulation, 1_500, "dead", [leaving]);
        simulation.partition(() => false);
        expect(whilePartitioned + countSightings(simulation, 3_000, "dead", [leaving])).toBe(0);
        leaving.condition = "silent";
        expect(simulation.advanceUntil(isRemovedEverywhere(simulation, [leaving]), 5_000)).toBeDefined();
    });

    const healPartition = (policy?: MembershipPolicy): number | undefined => {
        const simulation = createSettledSimulation({ seed: 3, size: 12, policy });
        const left = simulation.nodes.slice(0, 6);
        simulation.partition((from, to) => left.includes(from) !== left.includes(to));
        simulation.advance(30_000);
        expect(isRemovedEverywhere(simulation, [])()).toBe(true);
        expect(left.every(node => simulation.stateOf(node, simulation.nodes[9] as Node) === "dead")).toBe(true);
        simulation.partition(() => false);
        const isHealed = (): boolean =>
            simulation.nodes.every(viewer =>
                simulation.nodes.every(node => simulation.stateOf(viewer, node) === "alive")
            );
        return simulation.advanceUntil(isHealed, 30_000);
    };

    it("heals a partition, which requires the attempts to reach dead members and seeds", () => {
        expect(healPartition()).toBeDefined();
        const timing = { ...defaultMembershipPolicy.timing, rejoinIntervalMs: Infinity };
        expect(healPartition(policyWith({ timing }))).toBeUndefined();
    });

    it("declares a process dead when another one responds at its address", () => {
        const simulation = createSettledSimulation({ seed: 2, size: 8 });
        const [old, next] = simulation.nodes as [Node, Node];
        old.condition = "killed";
        simulation.redirect(old.address, next);
        expect(simulation.advanceUntil(isRemovedEverywhere(simulation, [old]), 2_000)).toBeDefined();
    });
});

describe("dissemination", () => {
    const spread = (options: SimulationOptions, act: (simulation: Simulation, node: Node) => void) => {
        const simulation = createSettledSimulation(options);
        act(simulation, simulation.nodes[0] as Node);
        return (isDone: (node: Node) => boolean) =>
            simulation.advanceUntil(() => simulation.runningNodes().every(isDone), 3_000);
    };

    it("spreads a leaving notice to all members within 3 s, which requires the updates sent with probes", () => {
        fc.assert(
            fc.property(simulationOptions, options => {
                const untilAll = spread({ ...options, lossRate: 0.05 }, publishLeaving);
                expect(untilAll(node => node.state.notices.size === 1)).toBeDefined();
            }),
            PROPERTY_OPTIONS,
        );
        const timing = { ...defaultMembershipPolicy.timing, gossipBudgetBytes: 0 };
        const untilAll = spread({ seed: 1, size: 12, policy: policyWith({ timing }) }, publishLeaving);
        expect(untilAll(node => node.state.notices.size === 1)).toBeUndefined();
    });

    it("spreads the leaving state and the configuration revision of a member to all members", () => {
        const untilAll = spread({ seed: 9, size: 24 }, (simulation, node) => {
            simulation.dispatch(node, { type: "configurationAdvanced", revision: 7 as never });
            simulation.dispatch(node, { type: "leaveRequested" });
        });
        const took = untilAll(node =>
            [...node.state.members.values()].some(member =>
                member.state === "leaving" && member.configurationRevision === 7
            )
        );
        expect(took).toBeDefined();
    });

    it("spreads usage reports to all members, with less than 14 KB/s sent per process", () => {
        const simulation = createSettledSimulation({ seed: 4, size: 24, usageIntervalMs: 1_000 });
        const before = simulation.nodes.map(node => node.bytesSent);
        simulation.advance(20_000);
        const rates = simulation.nodes.map((node, index) => (node.bytesSent - (before[index] ?? 0)) / 20);
        expect(Math.max(...rates)).toBeLessThan(14_000);
        expect(simulation.nodes.every(node => node.state.usages.size === 24)).toBe(true);
    });
});
