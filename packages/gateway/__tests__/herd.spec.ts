import { createFakeClock, createHasher, createRandom, type ServiceName, type UpstreamId } from "@ibislanding/core";
import {
    chooseUpstream,
    createUpstreamTable,
    type PlacementRequest,
    type ServiceSpec,
    type UpstreamTable,
} from "../src";
import { createRecord } from "./support/startTestGateway";

const service = "engine" as ServiceName;

const spec: ServiceSpec = {
    name: service,
    maximumConnections: 300,
    engine: { slots: 64, cacheTokens: 200_000, supportsMoves: true },
    scaling: undefined,
};

const ENGINES = ["a", "b", "c", "d", "e"];

/** Prompts that arrived at different hosts within 200 ms: time in ms, host, tokens. */
const ARRIVALS = [
    [0, 0, 12_000],
    [10, 1, 9_000],
    [20, 2, 9_000],
    [110, 3, 9_000],
    [120, 4, 2_400],
    [130, 5, 9_000],
    [150, 6, 9_000],
    [170, 0, 9_000],
    [170, 7, 9_000],
    [190, 1, 9_000],
] as const;

/** Delivery time of a placement notice to another host. */
const NOTICE_DELAY_MS = 20;

/**
 * Replays the arrivals, with the shared part recorded as cached at two of the engines; returns the prompts by engine.
 */
const replay = async (sendsNotices: boolean): Promise<ReadonlyMap<string, number>> => {
    const clock = createFakeClock();
    const hasher = await createHasher();
    const placed = new Map(ENGINES.map(engine => [engine, 0]));
    const tables: UpstreamTable[] = Array.from(
        { length: 8 },
        (_, host) =>
            createUpstreamTable({
                sharedNowMs: () => 0,
                ownAddress: "self",
                hostAddresses: () => ["self"],
                clock,
                hasher,
                peerTimeoutMs: () => 1_500,
                unobservedShare: () => 0,
                serviceOf: () => spec,
                onPlaced: ({ upstreamId, load, partIds }) => {
                    if (sendsNotices) {
                        const others = tables.filter((_, other) => other !== host);
                        clock.setTimer(
                            NOTICE_DELAY_MS,
                            () =>
                                others.forEach(table =>
                                    table.observePlacement(`host-${host}`, upstreamId, load, partIds)
                                ),
                        );
                    }
                },
            }),
    );
    tables.forEach(table => {
        table.replace(ENGINES.map(id => createRecord(id, 1, { service, slots: 64 })));
        ["a", "b"].forEach(id =>
            table.observePlacement("before", id as UpstreamId, { running: 0, backlogTokens: 0 }, ["shared"])
        );
    });
    let elapsedMs = 0;
    for (const [atMs, host, promptTokens] of ARRIVALS) {
        await clock.advance(atMs - elapsedMs);
        elapsedMs = atMs;
        const request: PlacementRequest = {
            promptTokens,
            promptParts: [{ partId: "shared", tokens: 2_000 }, {
                partId: `own-${atMs}-${host}`,
                tokens: promptTokens - 2_000,
            }],
            objectiveMs: 1_000,
            remainingMs: 6_000,
            requiresSpareCapacity: false,
            requiresKnownVersion: false,
            excluded: new Set(),
            softwareVersion: undefined,
            versionRule: { kind: "any" },
        };
        const decision = chooseUpstream(tables[host]?.candidates(service, request) ?? [], request);
        if (decision.kind === "send") {
            const { upstreamId } = decision.upstream;
            tables[host]?.trackRequest(upstreamId, request);
            placed.set(upstreamId, (placed.get(upstreamId) ?? 0) + 1);
        }
    }
    return placed;
};

test("hosts that place prompts between two reports spread them, because each placement is sent to the others at once", async () => {
    const most = (placed: ReadonlyMap<string, number>) => Math.max(...placed.values());
    expect(most(await replay(false))).toBeGreaterThan(5);
    // Two of ten prompts per engine would be even; one more is placed before the first notice arrives.
    expect(most(await replay(true))).toBeLessThanOrEqual(3);
});

/**
 * Returns the shared tokens that engines process again because the prompt was placed on an engine without the prefix.
 * Each chain recurs every few seconds, at hosts that receive notice of few placements.
 */
const recomputedTokens = async (unobservedShare: number): Promise<number> => {
    const HOSTS = 40;
    const NOTIFIED_HOSTS = 5;
    const CHAINS = 60;
    const SHARED_TOKENS = 6_000;
    const OWN_TOKENS = 2_000;
    const PROMPTS = 600;
    const INTERVAL_MS = 25;
    const RESPONSE_MS = 150;
    const engines = Array.from({ length: 12 }, (_, index) => `engine-${index}`);
    const clock = createFakeClock();
    const hasher = await createHasher();
    const random = createRandom(7);
    const tables: UpstreamTable[] = Array.from({ length: HOSTS }, (_, host) =>
        createUpstreamTable({
            sharedNowMs: () => 0,
            ownAddress: "self",
            hostAddresses: () => ["self"],
            clock,
            hasher,
            peerTimeoutMs: () => 1_500,
            unobservedShare: () => unobservedShare,
            serviceOf: () => spec,
            onPlaced: ({ upstreamId, load, partIds }) =>
                Array.from({ length: NOTIFIED_HOSTS }).forEach(() =>
                    tables[random.nextInt(HOSTS)]?.observePlacement(`host-${host}`, upstreamId, load, partIds)
                ),
        }));
    tables.forEach(table => table.replace(engines.map(id => createRecord(id, 1, { service, slots: 64 }))));
    const cached = new Map(engines.map(id => [id, new Set<number>()]));
    const processed = new Set<number>();
    let tokens = 0;
    for (let index = 0; index < PROMPTS; index++) {
        const chain = random.nextInt(CHAINS);
        const table = tables[random.nextInt(HOSTS)];
        const request: PlacementRequest = {
            promptTokens: SHARED_TOKENS + OWN_TOKENS,
            promptParts: [
                { partId: `system-${chain % 4}`, tokens: SHARED_TOKENS / 2 },
                { partId: `subject-${chain}`, tokens: SHARED_TOKENS / 2 },
                { partId: `own-${index}`, tokens: OWN_TOKENS },
            ],
            objectiveMs: 1_000,
            remainingMs: 6_000,
            requiresSpareCapacity: false,
            requiresKnownVersion: false,
            excluded: new Set(),
            softwareVersion: undefined,
            versionRule: { kind: "any" },
        };
        const decision = chooseUpstream(table?.candidates(service, request) ?? [], request);
        if (decision.kind === "send") {
            const cachedChains = cached.get(decision.upstream.upstreamId);
            tokens += cachedChains?.has(chain) !== true && processed.has(chain) ? SHARED_TOKENS : 0;
            cachedChains?.add(chain);
            processed.add(chain);
            const load = table?.trackRequest(decision.upstream.upstreamId, request);
            clock.setTimer(RESPONSE_MS, () => {
                load?.recordFirstEvent();
                load?.end();
            });
        }
        await clock.advance(INTERVAL_MS);
    }
    return tokens;
};

test("hosts that receive few placement notices find the engine that has a prefix cached", async () => {
    const withoutPresumption = await recomputedTokens(0);
    expect(withoutPresumption).toBeGreaterThan(0);
    expect(await recomputedTokens(0.87)).toBeLessThanOrEqual(withoutPresumption / 10);
});
