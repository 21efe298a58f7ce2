import type { Revision } from "@ibislanding/core";
import { startOperationId } from "@ibislanding/placement";
import fc from "fast-check";
import { createControlSimulation, LONGEST_PAUSE_MS, type SimulationOptions, ZONES } from "./createControlSimulation";

type Simulation = ReturnType<typeof createControlSimulation>;

type Fault =
    | { readonly type: "pause"; readonly process: number; readonly durationMs: number; }
    /** Pauses the lease holder between the lease check and its next order, and declares a version so that it has one. */
    | { readonly type: "pause-at-send"; readonly durationMs: number; }
    | { readonly type: "outage"; readonly durationMs: number; }
    | { readonly type: "lose-answers" | "lose-requests" | "lose-start-answers"; readonly count: number; }
    | { readonly type: "reclaim"; readonly index: number; }
    | { readonly type: "refuse-zone"; readonly zone: number; readonly durationMs: number; }
    | { readonly type: "new-version"; }
    | { readonly type: "demand"; readonly sequences: number; };

/** `EXPLORE_SEED` shifts the seeds, `EXPLORE_RUNS` sets the number of schedules per test. */
const SEED_OFFSET = Number(process.env["EXPLORE_SEED"] ?? 0);
const RUNS = Number(process.env["EXPLORE_RUNS"] ?? 10);
const SETTLE_MS = 40_000;

const pauseMs = (maximum: number) => fc.integer({ min: 500, max: maximum });

const faultArbitrary = (longestPauseMs: number): fc.Arbitrary<Fault> =>
    fc.oneof(
        fc.record({ type: fc.constant("pause" as const), process: fc.nat(2), durationMs: pauseMs(longestPauseMs) }),
        {
            weight: 3,
            arbitrary: fc.record({
                type: fc.constant("pause-at-send" as const),
                durationMs: pauseMs(longestPauseMs),
            }),
        },
        fc.record({ type: fc.constant("outage" as const), durationMs: fc.integer({ min: 500, max: 8_000 }) }),
        fc.record({
            type: fc.constantFrom("lose-answers" as const, "lose-requests" as const, "lose-start-answers" as const),
            count: fc.integer({ min: 1, max: 4 }),
        }),
        fc.record({ type: fc.constant("reclaim" as const), index: fc.nat(10) }),
        {
            weight: 2,
            arbitrary: fc.record({
                type: fc.constant("refuse-zone" as const),
                zone: fc.nat(2),
                durationMs: fc.integer({ min: 5_000, max: 20_000 }),
            }),
        },
        fc.constant({ type: "new-version" as const }),
        fc.record({ type: fc.constant("demand" as const), sequences: fc.integer({ min: 0, max: 16 }) }),
    );

const scheduleArbitrary = (longestPauseMs: number) =>
    fc.array(fc.tuple(faultArbitrary(longestPauseMs), fc.integer({ min: 100, max: 3_000 })), {
        minLength: 8,
        maxLength: 24,
    });

const declareVersion = ({ configuration }: Simulation): void => {
    configuration.revision = (configuration.revision + 1) as Revision;
    configuration.version = `v${configuration.revision}`;
};

const inject = (simulation: Simulation, fault: Fault): void => {
    switch (fault.type) {
        case "pause":
            return simulation.processes[fault.process]!.pause(fault.durationMs);
        case "pause-at-send":
            declareVersion(simulation);
            return simulation.processes.find(({ lease }) => lease.grant() !== undefined)?.pauseAtNextSend(
                fault.durationMs,
            );
        case "outage":
            simulation.store.setUnavailable(true);
            return void simulation.clock.setTimer(fault.durationMs, () => simulation.store.setUnavailable(false));
        case "lose-answers":
            return simulation.store.dropResponses(fault.count);
        case "lose-requests":
            return simulation.store.dropRequests(fault.count);
        case "lose-start-answers":
            return simulation.loseStartAnswers(fault.count);
        case "reclaim":
            return simulation.reclaim(fault.index);
        case "refuse-zone":
            simulation.refusedZones.add(ZONES[fault.zone]!);
            return void simulation.clock.setTimer(
                fault.durationMs,
                () => void simulation.refusedZones.delete(ZONES[fault.zone]!),
            );
        case "new-version":
            return declareVersion(simulation);
        case "demand":
            simulation.configuration.demand = fault.sequences;
    }
};

const runSchedule = async (
    options: SimulationOptions,
    schedule: readonly (readonly [Fault, number])[],
): Promise<Simulation> => {
    const simulation = createControlSimulation(options);
    await simulation.clock.advance(3_000);
    for (const [fault, delayMs] of schedule) {
        inject(simulation, fault);
        await simulation.clock.advance(delayMs);
    }
    await simulation.clock.advance(SETTLE_MS);
    return simulation;
};

/** Whether no engine accepted an order from an older grant than that of an order it accepted before. */
const ordersAreFenced = (simulation: Simulation): boolean =>
    simulation.engines().every(({ acceptedGrants }) =>
        acceptedGrants.every((grant, index) => index === 0 || grant >= acceptedGrants[index - 1]!)
    );

/** Whether no incarnation was started twice. */
const startsAreSingle = (simulation: Simulation): boolean => {
    const perIncarnation = new Map<string, number>();
    simulation.engines().forEach(({ request: { operationId } }) => {
        const incarnation = operationId.split("#")[0]!;
        perIncarnation.set(incarnation, (perIncarnation.get(incarnation) ?? 0) + 1);
    });
    return [...perIncarnation.values()].every(count => count === 1);
};

const hasConverged = async (simulation: Simulation): Promise<boolean> => {
    const plan = await simulation.storedPlan();
    const planned = plan.replicas.map(({ upstreamId }) => upstreamId).sort();
    const running = simulation.hosts().map(({ upstreamId }) => upstreamId).sort();
    return JSON.stringify(planned) === JSON.stringify(running)
        && plan.revision === simulation.configuration.revision
        && simulation.hosts().every(({ modelVersion, leaving }) =>
            modelVersion === simulation.configuration.version && !leaving
        )
        && simulation.processes.some(({ controller }) => controller.conditions()?.survivesZoneLoss === true);
};

const totals = { faults: 0, orders: 0, staleRefusals: 0, starts: 0, startsRefused: 0, leaseGrants: 0 };

const addTotals = (simulation: Simulation, faults: number): void => {
    totals.faults += faults;
    (Object.keys(simulation.counts) as (keyof Simulation["counts"])[]).forEach(name => {
        totals[name] += simulation.counts[name];
    });
};

/** Runs fault schedules until one violates the check; returns whether none did. */
const holdsUnderFaults = async (
    options: SimulationOptions,
    seed: number,
    longestPauseMs: number,
    check: (simulation: Simulation) => boolean | Promise<boolean>,
): Promise<boolean> => {
    let violated = false;
    const details = await fc.check(
        fc.asyncProperty(scheduleArbitrary(longestPauseMs), async schedule => {
            const simulation = await runSchedule(options, schedule);
            addTotals(simulation, schedule.length);
            violated = !await check(simulation);
            return !violated;
        }),
        { seed: seed + SEED_OFFSET, numRuns: RUNS, endOnFailure: true },
    );
    if (details.failed && !violated) {
        throw details.errorInstance as Error;
    }
    return !details.failed;
};

const allGuaranteesHold = async (simulation: Simulation): Promise<boolean> =>
    ordersAreFenced(simulation) && startsAreSingle(simulation) && await hasConverged(simulation);

/** Declared longest pause, less the time an order is in transit. */
const DECLARED_PAUSE_MS = LONGEST_PAUSE_MS - 100;

describe("control under faults", () => {
    it("keeps all guarantees where engines check fencing numbers, with pauses of any length", async () => {
        expect(await holdsUnderFaults({ honoursFencing: true }, 1, 20_000, allGuaranteesHold)).toBe(true);
    });

    it("keeps all guarantees where engines don't check fencing numbers, with pauses up to the declared maximum", async () => {
        expect(await holdsUnderFaults({ honoursFencing: false }, 2, DECLARED_PAUSE_MS, allGuaranteesHold)).toBe(true);
    });

    it("converges where engines don't check fencing numbers, with pauses longer than declared", async () => {
        expect(await holdsUnderFaults({ honoursFencing: false }, 3, 20_000, hasConverged)).toBe(true);
    });

    it("covers each kind of event in these runs", () => {
        process.stdout.write(`control under faults: ${JSON.stringify(totals)}\n`);
        expect(Math.min(...Object.values(totals))).toBeGreaterThan(0);
    });
});

describe("control without one of its mechanisms", () => {
    it("accepts stale orders when the fencing number doesn't increase", async () => {
        const options = { honoursFencing: true, strategy: { nextFencingNumber: () => 1 } };
        expect(await holdsUnderFaults(options, 1, 20_000, ordersAreFenced)).toBe(false);
    });

    it("lets stale orders reach engines that don't check fencing numbers when a new lease holder doesn't wait", async () => {
        const options = { honoursFencing: false, strategy: { settlingMs: () => 0 } };
        expect(await holdsUnderFaults(options, 2, DECLARED_PAUSE_MS, ordersAreFenced)).toBe(false);
    });

    it("starts hosts twice when the operation id isn't derived from the plan", async () => {
        let number = 0;
        const operationIdOf = (service: string, incarnation: number): string =>
            `${startOperationId(service, incarnation)}#${++number}`;
        expect(await holdsUnderFaults({ honoursFencing: true, operationIdOf }, 1, 20_000, startsAreSingle)).toBe(false);
    });

    it("doesn't converge when orders are not retried until their effect is observed", async () => {
        const options = { honoursFencing: true, policy: { orderRetryIntervalMs: Infinity } };
        expect(await holdsUnderFaults(options, 1, 20_000, hasConverged)).toBe(false);
    });
});
