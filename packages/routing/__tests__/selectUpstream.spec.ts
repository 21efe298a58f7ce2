import {
    type AvailabilityZone,
    createHasher,
    createRandom,
    ErrorCode,
    type Failure,
    type Hasher,
    type Region,
    type RequestId,
    type UpstreamId,
} from "@ibislanding/core";
import { type RoutingPolicyName } from "@ibislanding/resources";
import {
    applyRoutingEvent,
    createRoutingState,
    type LoadReport,
    type RoutingOptions,
    type RoutingState,
    type Selection,
    type SelectionRequest,
    selectServiceReplica,
    selectUpstream,
    type UpstreamDescription,
} from "@ibislanding/routing";
import fc from "fast-check";

const POLICIES: readonly RoutingPolicyName[] = [
    "cost-aware",
    "random",
    "round-robin",
    "least-loaded",
    "prefix-affinity",
];
const MARMARA = "marmara" as Region;

const idOf = (index: number): UpstreamId => `engine-${index}` as UpstreamId;

const createDescription = (index: number, changes: Partial<UpstreamDescription> = {}): UpstreamDescription => ({
    upstreamId: idOf(index),
    kind: "engine",
    service: "advisor",
    region: MARMARA,
    availabilityZone: "marmara-a" as AvailabilityZone,
    machineClass: "large",
    reclaimable: true,
    phase: "live",
    ...changes,
});

const createReport = (index: number, changes: Partial<LoadReport> = {}): LoadReport => ({
    upstreamId: idOf(index),
    runningSequences: 0,
    queuedSequences: 0,
    queuedPromptTokens: 0,
    concurrentSequences: 16,
    prefillTokensPerSecond: 10_000,
    leaving: false,
    modelVersions: { advisor: "1" },
    adapters: [],
    ...changes,
});

const request: SelectionRequest = {
    service: "advisor",
    model: "advisor",
    modelVersion: "1",
    adapter: undefined,
    policy: "cost-aware",
    priority: "normal",
    firstTokenTargetMs: 790,
    region: MARMARA,
    promptTokens: 1_280,
    blockHashes: Array.from({ length: 20 }, (_, index) => `block-${index}`),
    transferBytes: 10_000,
    excluded: new Set(),
    isResume: false,
};

describe("selectUpstream", () => {
    let hasher: Hasher;

    beforeAll(async () => {
        hasher = await createHasher();
    });

    const createState = (engines: number, options: Partial<RoutingOptions> = {}): RoutingState => {
        const state = createRoutingState(hasher, options);
        const indexes = Array.from({ length: engines }, (_, index) => index);
        applyRoutingEvent(state, {
            type: "upstreams-listed",
            upstreams: indexes.map(index => createDescription(index)),
        }, 0);
        indexes.forEach(index =>
            applyRoutingEvent(state, { type: "load-reported", report: createReport(index), ageMs: 0 }, 0)
        );
        return state;
    };

    const start = (
        state: RoutingState,
        requestId: string,
        index: number,
        nowMs: number,
        uncachedTokens = 1_280,
    ): void =>
        applyRoutingEvent(state, {
            type: "request-started",
            requestId: requestId as RequestId,
            upstreamId: idOf(index),
            blockHashes: request.blockHashes,
            uncachedTokens,
        }, nowMs);

    const finish = (state: RoutingState, requestId: string, index: number, outcome: "failed" | "succeeded"): void =>
        applyRoutingEvent(state, {
            type: "request-finished",
            requestId: requestId as RequestId,
            upstreamId: idOf(index),
            outcome,
        }, 10);

    it("never selects leaving, excluded or unlisted upstreams under any policy, even if the host list is stale", () => {
        fc.assert(
            fc.property(
                fc.constantFrom(...POLICIES),
                fc.integer({ min: 1, max: 8 }),
                fc.array(fc.nat(7), { maxLength: 8 }),
                fc.array(fc.nat(7), { maxLength: 8 }),
                fc.boolean(),
                (policy, engines, leaving, excluded, isListedAgain) => {
                    const state = createState(engines);
                    leaving.forEach(index =>
                        applyRoutingEvent(state, { type: "upstream-leaving", upstreamId: idOf(index) }, 1)
                    );
                    const listed = isListedAgain ? engines : Math.ceil(engines / 2);
                    applyRoutingEvent(state, {
                        type: "upstreams-listed",
                        upstreams: Array.from({ length: listed }, (_, index) => createDescription(index)),
                    }, 2);
                    const allowed = Array.from({ length: listed }, (_, index) => index)
                        .filter(index => !leaving.includes(index) && !excluded.includes(index)).map(idOf);
                    const input = { ...request, policy, excluded: new Set(excluded.map(idOf)) };
                    const result = selectUpstream(state, input, 3, createRandom(1));
                    expect(result.ok ? allowed.includes(result.val.upstreamId) : allowed.length === 0).toBe(true);
                },
            ),
            { seed: 5, numRuns: 200, endOnFailure: true },
        );
    });

    it("routes a prompt to the engine that has it cached until that engine exceeds the latency target", () => {
        const state = createState(4);
        applyRoutingEvent(state, {
            type: "cache-changed",
            upstreamId: idOf(2),
            changes: request.blockHashes.map((blockHash, index) => ({
                sequence: index + 1,
                type: "stored",
                blockHash,
            })),
            lastSequence: 20,
        }, 1);
        const first = selectUpstream(state, request, 2, createRandom(1)).unwrap();
        expect([first.upstreamId, first.expectedCachedTokens]).toEqual([idOf(2), 1_280]);
        const report = createReport(2, { queuedPromptTokens: 20_000 });
        applyRoutingEvent(state, { type: "load-reported", report, ageMs: 0 }, 3);
        expect(selectUpstream(state, request, 4, createRandom(1)).unwrap().upstreamId).not.toBe(idOf(2));
    });

    it("prefers the cheaper host and the local region", () => {
        const state = createState(3, { priceExponent: 1 });
        const spec = {
            prefillTokensPerSecond: 10_000,
            concurrentSequences: 16,
            pricePerHour: 4,
            reclaimablePricePerHour: 1,
            crossRegionPricePerGigabyte: 1_000,
            zonePrices: [],
        };
        applyRoutingEvent(state, { type: "machine-classes-declared", classes: { large: spec } }, 0);
        applyRoutingEvent(state, {
            type: "upstreams-listed",
            upstreams: [
                createDescription(0, { reclaimable: false }),
                createDescription(1),
                createDescription(2, { region: "ege" as Region }),
            ],
        }, 0);
        expect(selectUpstream(state, request, 1, createRandom(3)).unwrap().upstreamId).toBe(idOf(1));
    });

    it("refuses with a jittered delay when no upstream meets the target, except for high priority and resumes", () => {
        const state = createState(2);
        [0, 1].forEach(index => {
            const report = createReport(index, { queuedPromptTokens: 7_000 });
            applyRoutingEvent(state, { type: "load-reported", report, ageMs: 0 }, 0);
        });
        const random = createRandom(1);
        const refusals = Array.from({ length: 5 }, () => selectUpstream(state, request, 1, random).val as Failure);
        expect(refusals.map(({ code }) => code)).toEqual(Array(5).fill(ErrorCode.Overloaded));
        expect(new Set(refusals.map(({ retryAfterMs }) => retryAfterMs)).size).toBeGreaterThan(1);
        expect(selectUpstream(state, { ...request, priority: "high" }, 1, random).ok).toBe(true);
        expect(selectUpstream(state, { ...request, isResume: true }, 1, random).ok).toBe(true);
    });

    const busiestShare = (policy: RoutingPolicyName, recordsStarts: boolean): number => {
        const state = createState(8);
        const random = createRandom(11);
        const counts = new Map<string, number>();
        Array.from({ length: 100 }, (_, index) => index).forEach(index => {
            const input = { ...request, policy, blockHashes: [], promptTokens: 20 };
            const { upstreamId } = selectUpstream(state, input, 1, random).unwrap();
            counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1);
            if (recordsStarts) {
                start(state, `r-${index}`, Number(upstreamId.slice("engine-".length)), 1, 20);
            }
        });
        return Math.max(...counts.values()) / 100;
    };

    it("does not concentrate requests on one upstream between load reports", () => {
        expect(busiestShare("cost-aware", true)).toBeLessThanOrEqual(0.2);
        expect(busiestShare("least-loaded", true)).toBeLessThanOrEqual(0.2);
    });

    it("counts requests sent since the load report; without them a burst would exceed the capacity", () => {
        const countAccepted = (recordsStarts: boolean): number => {
            const state = createState(2);
            return Array.from({ length: 60 }, (_, index) => {
                const result = selectUpstream(state, request, 1, createRandom(index));
                if (result.ok && recordsStarts) {
                    start(state, `r-${index}`, Number(result.val.upstreamId.slice("engine-".length)), 1);
                }
                return result.ok;
            }).filter(isAccepted => isAccepted).length;
        };
        expect(countAccepted(true)).toBeLessThan(40);
        expect(countAccepted(false)).toBe(60);
    });

    it("ejects an upstream after consecutive failures, up to the maximum fraction, and readmits it later", () => {
        const state = createState(4);
        const failAll = (indexes: readonly number[]): void =>
            indexes.forEach(index =>
                Array.from({ length: 5 }, (_, attempt) => `r-${index}-${attempt}`).forEach(requestId => {
                    start(state, requestId, index, 5);
                    finish(state, requestId, index, "failed");
                })
            );
        const random = createRandom(1);
        const chosenAt = (nowMs: number): ReadonlySet<string> =>
            new Set(
                Array.from({ length: 100 }, () =>
                    selectUpstream(state, { ...request, policy: "random" }, nowMs, random).unwrap().upstreamId),
            );
        failAll([0]);
        expect(chosenAt(11)).toEqual(new Set([idOf(1), idOf(2), idOf(3)]));
        failAll([1, 2, 3]);
        expect(chosenAt(11).size).toBe(2);
        expect(chosenAt(5_011).size).toBe(4);
    });

    it("selects the same upstream for an uncached prompt on every entry host", () => {
        const selections = [1, 2, 3, 4].map(seed => selectUpstream(createState(8), request, 1, createRandom(seed)));
        const chosen = selections.map(result => (result.val as Selection).upstreamId);
        expect(new Set(chosen).size).toBe(1);
    });

    it("selects an upstream again after it was missing from one host list, unless it is leaving", () => {
        const state = createState(2);
        const list = (...indexes: readonly number[]): void =>
            applyRoutingEvent(state, {
                type: "upstreams-listed",
                upstreams: indexes.map(index => createDescription(index)),
            }, 1);
        [0, 1].forEach(index => start(state, `r-${index}`, index, 1));
        applyRoutingEvent(state, { type: "upstream-leaving", upstreamId: idOf(1) }, 1);
        list();
        expect(selectUpstream(state, request, 1, createRandom(1)).ok).toBe(false);
        list(0, 1);
        expect(selectUpstream(state, request, 1, createRandom(1)).unwrap().upstreamId).toBe(idOf(0));
        const excluded = new Set([idOf(0)]);
        expect(selectUpstream(state, { ...request, excluded }, 1, createRandom(1)).ok).toBe(false);
    });

    it("selects engines without a recent report only as a last resort, and only with the requested version", () => {
        const state = createState(2);
        applyRoutingEvent(state, { type: "load-reported", report: createReport(1), ageMs: 0 }, 4_000);
        expect(selectUpstream(state, request, 4_001, createRandom(1)).unwrap().upstreamId).toBe(idOf(1));
        expect(selectUpstream(state, request, 9_000, createRandom(1)).ok).toBe(true);
        expect(selectUpstream(state, { ...request, modelVersion: "2" }, 4_001, createRandom(1)).ok).toBe(false);
    });
});

describe("selectServiceReplica", () => {
    it("prefers the local availability zone until its replicas are busy, then the local region", async () => {
        const state = createRoutingState(await createHasher());
        const service = "subscriptions";
        applyRoutingEvent(state, {
            type: "upstreams-listed",
            upstreams: [
                createDescription(0, { kind: "service", service }),
                createDescription(1, { kind: "service", service, availabilityZone: "marmara-b" as AvailabilityZone }),
                createDescription(2, { kind: "service", service, region: "ege" as Region }),
            ],
        }, 0);
        const call = {
            service,
            region: MARMARA,
            availabilityZone: "marmara-a" as AvailabilityZone,
            excluded: new Set<UpstreamId>(),
        };
        const choose = (): UpstreamId => selectServiceReplica(state, call, 0, createRandom(1)).unwrap();
        expect(choose()).toBe(idOf(0));
        Array.from({ length: 16 }, (_, index) =>
            applyRoutingEvent(state, {
                type: "request-started",
                requestId: `r-${index}` as RequestId,
                upstreamId: idOf(0),
                blockHashes: [],
                uncachedTokens: 0,
            }, 0));
        expect(choose()).toBe(idOf(1));
        expect(selectServiceReplica(state, { ...call, service: "none" }, 0, createRandom(1)).ok).toBe(false);
    });
});
