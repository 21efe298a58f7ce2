import { createFakeClock, createHasher, type Hasher, type ServiceName, type UpstreamId } from "@ibislanding/core";
import { createUpstreamTable, type PlacementRequest } from "../src";
import { createEventSplitter } from "../src/forwarding/createEventSplitter";
import { createRecord } from "./support/startTestGateway";

const service = "engine" as ServiceName;
const GAP_MS = 20;

const request: PlacementRequest = {
    promptTokens: 2_000,
    promptParts: [],
    objectiveMs: 1_000,
    remainingMs: 6_000,
    requiresSpareCapacity: false,
    requiresKnownVersion: false,
    excluded: new Set(),
    softwareVersion: undefined,
    versionRule: { kind: "any" },
};

let hasher: Hasher;

beforeAll(async () => {
    hasher = await createHasher();
});

const createTable = (hostCount: number) => {
    const clock = createFakeClock();
    const state = { busyMs: 0 };
    const table = createUpstreamTable({
        clock,
        hasher,
        busyMs: () => state.busyMs,
        sharedNowMs: () => 0,
        ownAddress: "self",
        hostAddresses: () => ["self"],
        peerTimeoutMs: () => 10_000,
        unobservedShare: () => 1,
        serviceOf: name => ({
            name,
            maximumConnections: 300,
            engine: { slots: 32, cacheTokens: 200_000, supportsMoves: false },
            scaling: undefined,
        }),
        onPlaced: () => undefined,
    });
    table.replace(["a", "b"].map(id => createRecord(id, 1, { service, slots: 32 })));
    table.observePeer("peer", new Map(), hostCount - 1);
    const open = (id: string) => {
        const stream = table.trackRequest(id as UpstreamId, request);
        stream.recordFirstEvent();
        stream.recordEvents(1, false);
        return stream;
    };
    const predictionOf = (id: string) =>
        table.candidates(service, request).find(({ record }) => record.upstreamId === id);
    return { clock, state, table, open, predictionOf };
};

/** Lets two streams of different engines run, of which the second one has other gaps and may be delayed by the host. */
const run = async (
    { clock, state }: ReturnType<typeof createTable>,
    [first, second]: readonly ReturnType<ReturnType<typeof createTable>["open"]>[],
    { gaps, factor, busyShare = 0 }: { readonly gaps: number; readonly factor: number; readonly busyShare?: number; },
) => {
    for (const index of Array.from({ length: gaps }, (_, gap) => gap)) {
        await clock.advance(GAP_MS);
        state.busyMs += GAP_MS * busyShare;
        first?.recordEvents(1, false);
        if (index % factor === factor - 1) {
            second?.recordEvents(1, false);
        }
    }
};

// Guards against prompts that are sent by old loads to an engine whose streams show that it is slow, and against an engine
// that is avoided for longer than its streams say so.
test("slow streams of an engine lengthen its predictions, which return within 2 s", async () => {
    const host = createTable(40);
    const streams = [host.open("a"), host.open("b")];
    await run(host, streams, { gaps: 100, factor: 1 });
    expect(host.table.delayFactors().size).toBe(0);
    await run(host, streams, { gaps: 30, factor: 3 });
    expect(host.table.delayFactors().get("b" as UpstreamId)).toBeGreaterThan(1.5);
    expect(host.predictionOf("b")?.promptMs).toBeGreaterThan((host.predictionOf("a")?.promptMs ?? 0) * 1.5);
    await host.clock.advance(2_000);
    expect(host.table.delayFactors().size).toBe(0);
    expect(host.predictionOf("b")?.promptMs).toBeCloseTo(host.predictionOf("a")?.promptMs ?? 0, 0);
});

// Guards against a host whose own event loop is delayed and which therefore takes engines as slow.
test("gaps during which the host itself was busy do not make an engine slow", async () => {
    const host = createTable(40);
    const streams = [host.open("a"), host.open("b")];
    await run(host, streams, { gaps: 100, factor: 1 });
    for (const _ of Array.from({ length: 5 })) {
        await host.clock.advance(GAP_MS + 200);
        host.state.busyMs += 200;
        streams.forEach(({ recordEvents }) => recordEvents(1, false));
    }
    expect(host.table.delayFactors().size).toBe(0);
});

test("gaps that a client causes, because it is slow to read, do not make an engine slow", async () => {
    const host = createTable(40);
    const streams = [host.open("a"), host.open("b")];
    await run(host, streams, { gaps: 100, factor: 1 });
    await host.clock.advance(400);
    streams[1]?.recordEvents(1, true);
    expect(host.table.delayFactors().size).toBe(0);
});

// Guards against an engine that is taken for failed, or is left out, while it is silent for a moment.
test("an engine that is silent for a second is neither ejected nor left out", async () => {
    const host = createTable(40);
    const streams = [host.open("a"), host.open("b")];
    await run(host, streams, { gaps: 100, factor: 1 });
    await host.clock.advance(1_000);
    streams[1]?.recordEvents(1, false);
    expect(host.predictionOf("b")).toMatchObject({ isEjected: false, isMissing: false, pausedMs: 0 });
    expect(host.table.delayFactors().get("b" as UpstreamId) ?? 1).toBeLessThanOrEqual(3);
});

test("groups of 16 hosts predict without the gaps of streams", async () => {
    const host = createTable(16);
    const streams = [host.open("a"), host.open("b")];
    await run(host, streams, { gaps: 130, factor: 3 });
    expect(host.predictionOf("b")?.delayFactor).toBeUndefined();
    expect(host.predictionOf("b")?.promptMs).toBe(host.predictionOf("a")?.promptMs);
    expect(host.table.delayFactors().size).toBe(0);
});

test("the splitter counts whole events, without comments and empty lines", () => {
    const splitter = createEventSplitter();
    splitter.push(Buffer.from("data: 1\n\n: comment\n\n\n\ndata: 2\n\ndata: 3"));
    expect(splitter.completedEvents()).toBe(2);
    splitter.push(Buffer.from("\n\n"));
    expect(splitter.completedEvents()).toBe(1);
    splitter.push(Buffer.from("data"));
    expect(splitter.completedEvents()).toBe(0);
});
