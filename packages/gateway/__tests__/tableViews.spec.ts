import { createFakeClock, createHasher, type Hasher, type ServiceName, type UpstreamId } from "@ibislanding/core";
import { createUpstreamTable, type PlacementRequest, type ServiceSpec } from "../src";
import { createRecord } from "./support/startTestGateway";

// The table keeps medians, presumed prefixes and affinity penalties until their inputs change. If one of the changes were
// missed, requests would be placed by the state of some other moment, without an error.

const service = "service" as ServiceName;

let hasher: Hasher;

beforeAll(async () => {
    hasher = await createHasher();
});

const createTable = (isEngine: boolean) => {
    const spec: ServiceSpec = {
        name: service,
        maximumConnections: 300,
        engine: isEngine ? { slots: 64, cacheTokens: 200_000, supportsMoves: true } : undefined,
        scaling: undefined,
    };
    const clock = createFakeClock();
    const table = createUpstreamTable({
        sharedNowMs: () => 0,
        ownAddress: "self",
        hostAddresses: () => ["self"],
        clock,
        hasher,
        peerTimeoutMs: () => 1_500,
        unobservedShare: () => 1,
        serviceOf: () => spec,
        onPlaced: () => undefined,
    });
    return { table, clock };
};

const record = (id: string, startedAtMs = 1) => createRecord(id, 1, { service, slots: 64, startedAtMs });

const request = (prefix: string, own = "own"): PlacementRequest => ({
    promptTokens: 1_000,
    promptParts: [{ partId: prefix, tokens: 600 }, { partId: own, tokens: 400 }],
    objectiveMs: 1_000,
    remainingMs: 6_000,
    requiresSpareCapacity: false,
    requiresKnownVersion: false,
    excluded: new Set(),
    softwareVersion: undefined,
    versionRule: { kind: "any" },
});

const id = (text: string): UpstreamId => text as UpstreamId;

const read = (table: ReturnType<typeof createTable>["table"], asked = request("p")) =>
    new Map(table.candidates(service, asked).map(candidate => [String(candidate.record.upstreamId), candidate]));

test("an unmeasured upstream has the medians of the measured ones right after each measurement, start and removal", () => {
    const { table } = createTable(false);
    table.replace([record("a"), record("b")]);
    const initial = read(table).get("b");
    table.reportRoundTrip(id("a"), 40);
    expect(read(table).get("b")?.roundTripMs).toBe(40);
    table.reportSuccess(id("a"), 500);
    expect(read(table).get("b")?.promptMs).toBe(500);
    // A new start of the only measured one has no measurements.
    table.replace([record("a", 2), record("b")]);
    expect(read(table).get("b")).toMatchObject({ roundTripMs: initial?.roundTripMs, promptMs: initial?.promptMs });
});

test("measurements of an upstream that is removed after its retention time no longer count", async () => {
    const { table, clock } = createTable(false);
    table.replace([record("a"), record("b")]);
    table.reportSuccess(id("a"), 500);
    table.replace([record("b")]);
    expect(read(table).get("b")?.promptMs).toBe(500);
    await clock.advance(2_000);
    expect(read(table).get("b")?.promptMs).toBe(25);
});

test("the rate of an engine is relative to the median of slowdowns as of the last first event", async () => {
    const { table, clock } = createTable(true);
    table.replace([record("a")]);
    read(table);
    const unshared = (partId: string) => ({ ...request("x"), promptParts: [{ partId, tokens: 1_000 }] });
    const run = table.trackRequest(id("a"), unshared("first"));
    await clock.advance(3_000);
    run.recordFirstEvent();
    run.end();
    // The only engine is the median itself, so that its rate is that of the service.
    const { promptMs } = read(table, unshared("second")).get("a") ?? { promptMs: 0 };
    expect(promptMs).toBeCloseTo(1_000 / table.tokensPerMs(service), 6);
});

test("a prefix is presumed at the next engine as soon as the first one is known to leave", () => {
    const { table } = createTable(true);
    const ids = ["a", "b", "c", "d"];
    table.replace(ids.map(each => record(each)));
    const asked = request("p");
    const byPrompt = (): readonly string[] =>
        [...read(table, asked)].sort(([, left], [, right]) => left.promptMs - right.promptMs).map(([each]) => each);
    const [first = "", second = "", third = ""] = byPrompt();
    expect(read(table, asked).get(first)?.promptMs).toBeLessThan(read(table, asked).get(second)?.promptMs ?? 0);
    expect(read(table, asked).get(second)?.promptMs).toBeLessThan(read(table, asked).get(third)?.promptMs ?? 0);
    table.observeLeaving({ upstreamId: id(first), startedAtMs: 1 });
    expect(byPrompt()[0]).toBe(second);
});

test("affinity depends on the shared parts alone, whatever was asked for in between", () => {
    const { table } = createTable(true);
    table.replace(["a", "b", "c"].map(each => record(each)));
    const penalties = (prefix: string, own: string) =>
        [...read(table, request(prefix, own)).values()].map(({ affinityPenaltyMs }) => affinityPenaltyMs);
    const before = penalties("p", "x");
    // More prefixes than are remembered.
    Array.from({ length: 100 }, (_, index) => penalties(`other-${index}`, "x"));
    expect(penalties("p", "x")).toEqual(before);
    expect(penalties("q", "x")).not.toEqual(before);
});

test("loads of peers are those of their newest reports, until the reports have expired or no longer list them", async () => {
    const { table, clock } = createTable(true);
    table.replace([record("a"), record("b")]);
    const running = () => ["a", "b"].map(each => read(table).get(each)?.running);
    const report = (host: string, loads: Readonly<Record<string, number>>) =>
        table.observePeer(
            host,
            new Map(Object.entries(loads).map(([each, count]) => [id(each), { running: count, backlogTokens: 0 }])),
            1,
        );
    report("host-1", { a: 2, b: 3 });
    expect(running()).toEqual([2, 3]);
    await clock.advance(1_000);
    report("host-2", { a: 10 });
    expect(running()).toEqual([12, 3]);
    // The first host's report expires, the second one's is still current.
    await clock.advance(600);
    expect(running()).toEqual([10, 0]);
    report("host-1", { b: 4 });
    expect(running()).toEqual([10, 4]);
    report("host-2", { a: 11, b: 1 });
    expect(running()).toEqual([11, 5]);
    table.observePlacement("host-1", id("a"), { running: 7, backlogTokens: 0 }, []);
    expect(running()).toEqual([18, 5]);
});
