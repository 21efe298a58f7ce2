import { type AccountId, createRandom, ErrorCode, type Failure, type HostId } from "@ibislanding/core";
import {
    admitRequest,
    applyEntryHosts,
    applyUsageReport,
    createLimitsState,
    createUsageReport,
    type LimitsOptions,
    releaseRequest,
} from "@ibislanding/limits";
import fc from "fast-check";

const ACCOUNT = "parks" as AccountId;
const GOSSIP_INTERVAL_MS = 500;
const STEP_MS = 10;

interface Run {
    readonly seed: number;
    readonly hosts: number;
    readonly ratePerSecond: number;
    /** Offered load relative to the limit. */
    readonly demand: number;
    /** Relative demand of each host, one list per phase. */
    readonly weights: readonly (readonly number[])[];
    /** Whether a network partition separates the hosts into two groups after the first third. */
    readonly isPartitioned: boolean;
    readonly exchangesReports: boolean;
    readonly options: Partial<LimitsOptions>;
}

const PHASE_MS = 5_000;
const PHASES = 6;
const WARM_UP_MS = PHASES / 3 * PHASE_MS;

/** Returns the number of requests admitted by all hosts after the warm-up, relative to the number that is allowed. */
const admittedShare = (run: Run): number => {
    const random = createRandom(run.seed);
    const ids = Array.from({ length: run.hosts }, (_, index) => `entry-${index}` as HostId);
    const states = ids.map(id => createLimitsState(id, run.options));
    if (run.exchangesReports) {
        states.forEach(state => applyEntryHosts(state, ids));
    }
    const limits = {
        requestsPerSecond: run.ratePerSecond,
        burstRequests: run.hosts,
        maximumConcurrent: 1_000_000,
        priority: "normal",
    } as const;
    const partitionOf = (index: number, nowMs: number): number =>
        run.isPartitioned && nowMs >= WARM_UP_MS ? index % 2 : 0;
    let admitted = 0;
    for (let nowMs = 0; nowMs < PHASES * PHASE_MS; nowMs += STEP_MS) {
        const weights = run.weights[Math.floor(nowMs / PHASE_MS) % run.weights.length] ?? [];
        const total = states.reduce((sum, _, index) => sum + (weights[index] ?? 1), 0);
        states.forEach((state, index) => {
            const expected = run.ratePerSecond * run.demand * STEP_MS / 1_000 * (weights[index] ?? 1) / total;
            const arrivals = Math.floor(expected) + (random.nextFloat() < expected % 1 ? 1 : 0);
            Array.from({ length: arrivals }).forEach(() => {
                const isAdmitted = admitRequest(state, ACCOUNT, limits, nowMs, random).ok;
                releaseRequest(state, isAdmitted ? ACCOUNT : "" as AccountId);
                admitted += isAdmitted && nowMs >= WARM_UP_MS ? 1 : 0;
            });
            if (run.exchangesReports && (nowMs + index * 50) % GOSSIP_INTERVAL_MS === 0) {
                const report = createUsageReport(state, nowMs);
                states.filter((_, other) => partitionOf(other, nowMs) === partitionOf(index, nowMs))
                    .forEach(other => applyUsageReport(other, report, nowMs));
            }
        });
    }
    const allowed = run.ratePerSecond * (PHASES * PHASE_MS - WARM_UP_MS) / 1_000 + limits.burstRequests;
    return admitted / allowed;
};

const runArbitrary = fc.record({
    seed: fc.integer(),
    hosts: fc.integer({ min: 2, max: 8 }),
    ratePerSecond: fc.integer({ min: 50, max: 200 }),
    demand: fc.double({ min: 1.5, max: 4, noNaN: true }),
    weights: fc.array(
        fc.array(fc.double({ min: 0, max: 1, noNaN: true }).map(w => w + 0.05), {
            minLength: 8,
            maxLength: 8,
        }),
        { minLength: 1, maxLength: 3 },
    ),
});

// Each Err captures a stack trace, which dominates the duration of long runs.
const stackTraceLimit = Error.stackTraceLimit;
Error.stackTraceLimit = 0;
afterAll(() => {
    Error.stackTraceLimit = stackTraceLimit;
});

const assertForRuns = (property: (run: Omit<Run, "isPartitioned" | "exchangesReports" | "options">) => void): void =>
    fc.assert(fc.property(runArbitrary, property), { seed: 20261203, numRuns: 10, endOnFailure: true });

const worstAdmittedShare = (fixed: Pick<Run, "isPartitioned" | "exchangesReports" | "options">): number =>
    Math.max(
        ...fc.sample(runArbitrary, { seed: 20261203, numRuns: 10 }).map(run => admittedShare({ ...run, ...fixed })),
    );

describe("limit of a client account across all entry hosts", () => {
    it("is exceeded by 5% at most and used to at least 70% while demand shifts between hosts every few seconds", () => {
        assertForRuns(run => {
            const share = admittedShare({ ...run, isPartitioned: false, exchangesReports: true, options: {} });
            expect(share).toBeLessThanOrEqual(1.05);
            expect(share).toBeGreaterThanOrEqual(0.7);
        });
    });

    it("is used to at least 90% under constant uneven demand", () => {
        assertForRuns(run => {
            const steady = {
                ...run,
                weights: run.weights.slice(0, 1),
                isPartitioned: false,
                exchangesReports: true,
                options: {},
            };
            expect(admittedShare(steady)).toBeGreaterThanOrEqual(0.9);
        });
    });

    it("is exceeded by 15% at most in a network partition", () => {
        assertForRuns(run => {
            expect(admittedShare({ ...run, isPartitioned: true, exchangesReports: true, options: {} }))
                .toBeLessThanOrEqual(1.15);
        });
    });

    it("is exceeded more than twofold when hosts do not exchange usage reports", () => {
        expect(worstAdmittedShare({ isPartitioned: false, exchangesReports: false, options: {} })).toBeGreaterThan(2);
    });

    it("is exceeded in a network partition without the bound on the share of the reachable hosts", () => {
        expect(
            worstAdmittedShare({ isPartitioned: true, exchangesReports: true, options: { partitionExcessRatio: 100 } }),
        ).toBeGreaterThan(1.5);
    });
});

describe("admitRequest", () => {
    const limits = { requestsPerSecond: 1, burstRequests: 2, maximumConcurrent: 1, priority: "low" } as const;
    const random = createRandom(1);

    it("refuses requests over the concurrency limit until one is released", () => {
        const state = createLimitsState("entry-1" as HostId);
        expect(admitRequest(state, ACCOUNT, limits, 0, random).ok).toBe(true);
        expect((admitRequest(state, ACCOUNT, limits, 0, random).val as Failure).code).toBe(ErrorCode.OverLimit);
        releaseRequest(state, ACCOUNT);
        expect(admitRequest(state, ACCOUNT, limits, 0, random).ok).toBe(true);
    });

    it("refuses low priority first at the in-flight limit of the process, with a jittered retry delay", () => {
        const state = createLimitsState("entry-1" as HostId, { maximumInFlight: 4 });
        const wideLimits = { ...limits, burstRequests: 100, maximumConcurrent: 100 };
        Array.from({ length: 3 }, () => admitRequest(state, ACCOUNT, wideLimits, 0, random));
        const refused = Array.from(
            { length: 5 },
            () => admitRequest(state, ACCOUNT, wideLimits, 0, random).val as Failure,
        );
        expect(refused.map(({ code }) => code)).toEqual(Array(5).fill(ErrorCode.Overloaded));
        expect(new Set(refused.map(({ retryAfterMs }) => retryAfterMs)).size).toBeGreaterThan(1);
        expect(admitRequest(state, ACCOUNT, { ...wideLimits, priority: "high" }, 0, random).ok).toBe(true);
    });
});
