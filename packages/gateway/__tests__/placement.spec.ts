import {
    type AvailabilityZone,
    createFakeClock,
    createHasher,
    type Hasher,
    type ServiceName,
    type UpstreamId,
} from "@ibislanding/core";
import {
    chooseUpstream,
    createUpstreamTable,
    type PlacementRequest,
    type ServiceSpec,
    type UpstreamRecord,
} from "../src";
import { createRecord } from "./support/startTestGateway";

const service = "engine" as ServiceName;

let hasher: Hasher;

beforeAll(async () => {
    hasher = await createHasher();
});

const spec: ServiceSpec = {
    name: service,
    maximumConnections: 300,
    engine: { slots: 64, cacheTokens: 200_000, supportsMoves: true },
    scaling: undefined,
};

const engine = (id: string, fields: Partial<UpstreamRecord> = {}): UpstreamRecord =>
    createRecord(id, 1, { service, slots: 64, ...fields });

const prompt = (subject: string, fields: Partial<PlacementRequest> = {}): PlacementRequest => ({
    promptTokens: 9_000,
    promptParts: [{ partId: "system", tokens: 2_500 }, { partId: subject, tokens: 3_800 }],
    objectiveMs: 1_000,
    remainingMs: 6_000,
    requiresSpareCapacity: false,
    requiresKnownVersion: false,
    excluded: new Set(),
    softwareVersion: undefined,
    versionRule: { kind: "any" },
    ...fields,
});

const createTable = (records: readonly UpstreamRecord[]) => {
    const clock = createFakeClock();
    const table = createUpstreamTable({
        sharedNowMs: () => 0,
        ownAddress: "self",
        hostAddresses: () => ["self"],
        clock,
        hasher,
        peerTimeoutMs: () => 1_500,
        unobservedShare: () => 0,
        serviceOf: () => spec,
        onPlaced: () => undefined,
    });
    table.replace(records);
    const place = (request: PlacementRequest) => chooseUpstream(table.candidates(service, request), request);
    return { clock, table, place };
};

const upstreamOf = (decision: ReturnType<typeof chooseUpstream>): string =>
    decision.kind === "send" ? decision.upstream.upstreamId : decision.reason;

test("a prompt is sent to the engine that has its prefix cached until the backlog there costs more", async () => {
    const { clock, table, place } = createTable([engine("a"), engine("b")]);
    const first = upstreamOf(place(prompt("s1")));
    const { recordFirstEvent, end } = table.trackRequest(first as UpstreamId, prompt("s1"));
    recordFirstEvent();
    end();
    await clock.advance(500);
    expect(upstreamOf(place(prompt("s1")))).toBe(first);
    [1, 2, 3].forEach(index => table.trackRequest(first as UpstreamId, prompt(`other-${index}`)));
    expect(upstreamOf(place(prompt("s1")))).not.toBe(first);
});

test("a burst of prompts is spread over all engines instead of following the last report", () => {
    const { table, place } = createTable(["a", "b", "c", "d"].map(id => engine(id)));
    const chosen = Array.from({ length: 8 }, (_, index) => {
        const id = upstreamOf(place(prompt(`s${index}`)));
        table.trackRequest(id as UpstreamId, prompt(`s${index}`));
        return id;
    });
    const counts = ["a", "b", "c", "d"].map(id => chosen.filter(one => one === id).length);
    expect(counts).toEqual([2, 2, 2, 2]);
});

test("a request whose first event would come too late is refused on arrival", () => {
    const { table, place } = createTable([engine("a")]);
    Array.from({ length: 30 }).forEach((_, index) => table.trackRequest("a" as UpstreamId, prompt(`s${index}`)));
    const decision = place(prompt("late", { remainingMs: 4_000 }));
    expect(decision).toMatchObject({ kind: "refuse", reason: "saturated" });
    expect(decision.kind === "refuse" && decision.retryAfterMs).toBeGreaterThan(0);
});

test("a request of an account above its rate runs only if others still meet their objectives", () => {
    const { table, place } = createTable([engine("a")]);
    Array.from({ length: 2 }).forEach((_, index) => table.trackRequest("a" as UpstreamId, prompt(`s${index}`)));
    expect(place(prompt("within"))).toMatchObject({ kind: "send" });
    expect(place(prompt("above", { requiresSpareCapacity: true }))).toMatchObject({ kind: "refuse" });
});

test("an upstream that has crashed writes no events that may be continued until it is registered again", async () => {
    const { clock, table, place } = createTable([engine("a")]);
    const resumable = prompt("s", { requiresKnownVersion: true });
    table.observeCrash(engine("a", { startedAtMs: -1 }));
    expect(upstreamOf(place(resumable))).toBe("a");
    table.observeCrash(engine("a"));
    expect(upstreamOf(place(resumable))).toBe("no-upstream");
    expect(upstreamOf(place(prompt("s")))).toBe("a");
    table.replace([engine("a", { startedAtMs: engine("a").startedAtMs + 1 })]);
    expect(upstreamOf(place(resumable))).toBe("a");
    table.observeCrash(engine("a", { startedAtMs: engine("a").startedAtMs + 1 }));
    expect(upstreamOf(place(resumable))).toBe("no-upstream");
    await clock.advance(6_000);
    expect(upstreamOf(place(resumable))).toBe("a");
});

test("a leaving upstream receives no new requests, one missing from the registry only as a last resort", async () => {
    const { clock, table, place } = createTable([engine("a"), engine("b")]);
    table.replace([engine("a", { isLeaving: true }), engine("b")]);
    expect(upstreamOf(place(prompt("s")))).toBe("b");
    table.replace([]);
    expect(upstreamOf(place(prompt("s")))).toBe("b");
    await clock.advance(2_000);
    expect(upstreamOf(place(prompt("s")))).toBe("no-upstream");
});

test("an upstream whose registry entry expires and returns within two seconds remains in use", async () => {
    const { clock, table, place } = createTable([engine("a")]);
    table.replace([]);
    await clock.advance(1_500);
    table.replace([engine("a")]);
    await clock.advance(5_000);
    expect(upstreamOf(place(prompt("s")))).toBe("a");
});

test("an upstream that restarts under the same id starts without load and without a cached prefix", () => {
    const { table } = createTable([engine("a")]);
    table.trackRequest("a" as UpstreamId, prompt("s"));
    table.replace([engine("a", { startedAtMs: 2 })]);
    expect(table.candidates(service, prompt("s"))[0]?.running).toBe(0);
});

test("an upstream that fails most of its requests is ejected for a while and then used again", async () => {
    const { clock, table, place } = createTable([engine("a"), engine("b")]);
    const failing = upstreamOf(place(prompt("s"))) as UpstreamId;
    [1, 2, 3].forEach(() => table.reportFailure(failing, "failed"));
    expect(upstreamOf(place(prompt("s")))).not.toBe(failing);
    await clock.advance(10_000);
    expect(table.candidates(service, prompt("s")).some(({ isEjected }) => isEjected)).toBe(false);
});

test("the load reported by peers counts until the report expires", async () => {
    const { clock, table, place } = createTable([engine("a"), engine("b")]);
    table.observePeer(
        "peer",
        new Map([["a" as UpstreamId, { running: 10, backlogTokens: 100_000 }]]),
        1,
    );
    expect(upstreamOf(place(prompt("s")))).toBe("b");
    await clock.advance(20_000);
    expect(table.candidates(service, prompt("s"))[0]?.backlogMs).toBe(0);
});

test("the backlogs of several hosts together shrink at the engine's rate", async () => {
    const { clock, table } = createTable([engine("a")]);
    const rate = table.tokensPerMs(service);
    ["p1", "p2", "p3"].forEach(peer =>
        table.observePeer(peer, new Map([["a" as UpstreamId, { running: 1, backlogTokens: 10_000 }]]), 1)
    );
    await clock.advance(500);
    const backlogMs = table.candidates(service, prompt("s"))[0]?.backlogMs ?? 0;
    expect(backlogMs).toBeCloseTo(30_000 / rate - 500, 0);
});

test("an engine that is delayed by work of unreachable hosts is avoided and used again later", async () => {
    const { clock, table, place } = createTable([engine("a"), engine("b")]);
    const fresh = prompt("s", { promptParts: [] });
    const slow = table.trackRequest("a" as UpstreamId, prompt("s"));
    await clock.advance(2_000);
    expect(upstreamOf(place(fresh))).toBe("b");
    slow.recordFirstEvent();
    slow.end();
    expect(upstreamOf(place(fresh))).toBe("b");
    await clock.advance(6_000);
    expect(table.candidates(service, prompt("s"))[0]?.unexplainedDelayMs).toBeLessThan(50);
});

test("a placement by a peer marks the prefix as cached at the engine", () => {
    const { table, place } = createTable(["a", "b", "c"].map(id => engine(id)));
    table.observePlacement("peer", "c" as UpstreamId, { running: 0, backlogTokens: 0 }, ["system", "s9"]);
    expect(upstreamOf(place(prompt("s9")))).toBe("c");
});

test("the prompt rate of the engines is estimated from first events", async () => {
    const { clock, table } = createTable([engine("a")]);
    const before = table.tokensPerMs(service);
    for (const index of Array.from({ length: 60 }).keys()) {
        const load = table.trackRequest("a" as UpstreamId, prompt(`s${index}`));
        await clock.advance(100);
        load.recordFirstEvent();
        load.end();
        await clock.advance(30_000);
    }
    expect(before).toBeLessThan(30);
    expect(table.tokensPerMs(service)).toBeGreaterThan(70);
});

test("connections of this host to an upstream stay within its share of the upstream's limit", () => {
    const plain: ServiceSpec = { ...spec, maximumConnections: 20, engine: undefined };
    const clock = createFakeClock();
    const table = createUpstreamTable({
        sharedNowMs: () => 0,
        ownAddress: "self",
        hostAddresses: () => ["self"],
        clock,
        hasher,
        peerTimeoutMs: () => 1_500,
        unobservedShare: () => 0,
        serviceOf: () => plain,
        onPlaced: () => undefined,
    });
    table.replace([engine("a")]);
    table.observePeer("peer", new Map(), 1);
    Array.from({ length: 9 }).forEach(() => table.trackConnection(engine("a")));
    const request = prompt("s");
    expect(chooseUpstream(table.candidates(service, request), request)).toMatchObject({ reason: "saturated" });
});

test("an upstream in another zone is used only if it is predicted to respond sooner", () => {
    const { table, place } = createTable([
        engine("near"),
        engine("far", { availabilityZone: "zone-b" as AvailabilityZone }),
    ]);
    table.reportRoundTrip("near" as UpstreamId, 1);
    table.reportRoundTrip("far" as UpstreamId, 40);
    expect(upstreamOf(place(prompt("s")))).toBe("near");
    [1, 2].forEach(index => table.trackRequest("near" as UpstreamId, prompt(`n${index}`)));
    expect(upstreamOf(place(prompt("s")))).toBe("far");
});

test("an engine that is slower than the others receives fewer prompts and has longer predicted prompt times", async () => {
    const { clock, table, place } = createTable(["a", "b", "slow"].map(id => engine(id)));
    const fresh = (subject: string) => prompt(subject, { promptParts: [] });
    for (const index of Array.from({ length: 60 }).keys()) {
        const id = ["a", "b", "slow"][index % 3] as UpstreamId;
        const load = table.trackRequest(id, fresh(`s${index}`));
        await clock.advance(id === "slow" ? 450 : 250);
        load.recordFirstEvent();
        load.end();
        await clock.advance(3_000);
    }
    const promptMs = new Map(table.candidates(service, fresh("t")).map(one => [one.record.upstreamId, one.promptMs]));
    expect((promptMs.get("slow" as UpstreamId) ?? 0) / (promptMs.get("a" as UpstreamId) ?? 1)).toBeGreaterThan(1.4);
    const chosen = Array.from({ length: 10 }, (_, index) => {
        const id = upstreamOf(place(fresh(`n${index}`)));
        table.trackRequest(id as UpstreamId, fresh(`n${index}`));
        return id;
    });
    expect(chosen.filter(id => id === "slow")).toHaveLength(2);
});

test("hosts without load information spread prompts over all engines and select the same engine for a prefix", () => {
    const ids = Array.from({ length: 12 }, (_, index) => `e${index}`);
    const hosts = Array.from({ length: 40 }, () => createTable(ids.map(id => engine(id))));
    const chosen = hosts.map(({ place }, index) => upstreamOf(place(prompt(`subject-${index}`))));
    expect(Math.max(...ids.map(id => chosen.filter(one => one === id).length))).toBeLessThan(40 / 12 * 3);
    const agreed = new Set(hosts.map(({ place }) => upstreamOf(place(prompt("subject-0")))));
    expect(agreed.size).toBe(1);
});

test("a prompt is sent to another engine if it would only just meet its objective at the one with its prefix", () => {
    const { table, place } = createTable([engine("a"), engine("b")]);
    table.observePlacement("peer", "a" as UpstreamId, { running: 3, backlogTokens: 0 }, ["system", "s"]);
    const tokensPerMs = table.tokensPerMs(service);
    const backlogTokens = Math.round(tokensPerMs * 580);
    const request = prompt("s", { promptTokens: Math.round(tokensPerMs * 500) });
    table.observePeer("peer", new Map([["a" as UpstreamId, { running: 3, backlogTokens }]]), 1);
    expect(upstreamOf(place(request))).toBe("b");
    table.observePeer("peer", new Map([["a" as UpstreamId, { running: 3, backlogTokens: backlogTokens / 3 }]]), 1);
    expect(upstreamOf(place(request))).toBe("a");
});

test("an upstream that is known to be leaving stays so until it has started anew, whatever the registry says", async () => {
    const { clock, table, place } = createTable([engine("a"), engine("b")]);
    let departures = 0;
    table.onDeparture("a" as UpstreamId, () => {
        departures++;
    });
    expect(table.observeLeaving({ upstreamId: "a" as UpstreamId, startedAtMs: 1 })).toBe(true);
    expect(table.observeLeaving({ upstreamId: "a" as UpstreamId, startedAtMs: 1 })).toBe(false);
    expect(departures).toBe(1);
    expect(table.leaving()).toEqual([["a", 1]]);
    table.replace([engine("a"), engine("b")]);
    expect(upstreamOf(place(prompt("s")))).toBe("b");
    // The entry expires and is listed again as ready.
    table.replace([engine("b")]);
    expect(table.leaving()).toEqual([]);
    await clock.advance(5_000);
    table.replace([engine("a")]);
    await clock.advance(2_000);
    expect(upstreamOf(place(prompt("s")))).toBe("no-upstream");
    table.replace([engine("a", { startedAtMs: 2 })]);
    expect(upstreamOf(place(prompt("s")))).toBe("a");
    expect(table.observeLeaving({ upstreamId: "a" as UpstreamId, startedAtMs: 1 })).toBe(false);
    expect(upstreamOf(place(prompt("s")))).toBe("a");
});

test("a restored registry that lists a leaving upstream as ready does not bring it back", () => {
    const { table, place } = createTable([engine("a", { isLeaving: true }), engine("b")]);
    table.replace([engine("a"), engine("b")]);
    expect(upstreamOf(place(prompt("s")))).toBe("b");
});

test("an upstream that asked for a pause receives nothing until it ends, and the refusal states the earliest end", async () => {
    const { clock, table, place } = createTable([engine("a"), engine("b")]);
    table.pause(engine("a"), 2_000);
    expect(upstreamOf(place(prompt("s")))).toBe("b");
    table.pause(engine("b"), 700);
    expect(place(prompt("s"))).toEqual({ kind: "refuse", reason: "paused", retryAfterMs: 700 });
    // A shorter pause does not end a longer one.
    table.pause(engine("a"), 100);
    await clock.advance(700);
    expect(upstreamOf(place(prompt("s")))).toBe("b");
    await clock.advance(1_300);
    expect(table.candidates(service, prompt("s")).every(({ pausedMs }) => pausedMs === 0)).toBe(true);
});

test("a pause ends with the process that asked for it, and ejection does not outweigh it", () => {
    const { table, place } = createTable([engine("a"), engine("b")]);
    table.pause(engine("a"), 2_000);
    table.pause(engine("b"), 2_000);
    [1, 2, 3].forEach(() => table.reportFailure("b" as UpstreamId, "failed"));
    expect(place(prompt("s"))).toMatchObject({ reason: "paused" });
    table.replace([engine("a", { startedAtMs: 2 }), engine("b")]);
    expect(upstreamOf(place(prompt("s")))).toBe("a");
});

test("peers that are gone leave nothing behind, over a simulated day of replaced hosts", async () => {
    const { clock, table } = createTable([engine("a")]);
    for (const hour of Array.from({ length: 24 }).keys()) {
        Array.from({ length: 40 }).forEach((_, host) =>
            table.observePeer(
                `host-${hour}-${host}`,
                new Map([["a" as UpstreamId, { running: 1, backlogTokens: 0 }]]),
                1,
            )
        );
        expect(table.candidates(service, prompt("s"))[0]?.running).toBe(40);
        expect(table.hostCount()).toBe(41);
        await clock.advance(3_600_000);
    }
    table.observePeer("last", new Map(), 1);
    expect(table.hostCount()).toBe(2);
});

test("a stream is continued where a connection is older than the delay of the registry, unless it would come too late there", async () => {
    const { clock, table, place } = createTable([engine("busy"), engine("idle")]);
    const continued = prompt("s", {
        objectiveMs: 4_000,
        remainingMs: 20_000,
        softwareVersion: engine("busy").softwareVersion,
    });
    table.trackRequest("busy" as UpstreamId, prompt("other"));
    const connection = table.trackConnection(engine("busy"));
    connection.recordEstablished();
    await clock.advance(3_000);
    table.trackConnection(engine("idle")).recordEstablished();
    expect(upstreamOf(place(prompt("s")))).toBe("idle");
    expect(upstreamOf(place(continued))).toBe("busy");
    expect(upstreamOf(place({ ...continued, objectiveMs: 1_000 }))).toBe("idle");
    await clock.advance(4_000);
    // Both connections are old enough to lead to the registered starts.
    expect(upstreamOf(place(continued))).toBe("idle");
    connection.end();
    expect(upstreamOf(place(continued))).toBe("idle");
});

test("connections to a start of an upstream do not count for the next start", async () => {
    const { clock, table } = createTable([engine("a")]);
    table.trackConnection(engine("a")).recordEstablished();
    await clock.advance(5_000);
    expect(table.candidates(service, prompt("s"))[0]?.connectedForMs).toBe(5_000);
    table.replace([engine("a", { startedAtMs: engine("a").startedAtMs + 1 })]);
    table.trackConnection(engine("a"));
    await clock.advance(1_000);
    expect(table.candidates(service, prompt("s"))[0]?.connectedForMs).toBe(0);
});

// Guards against an upstream that has restarted and keeps its connections, and looks older than one that often closes some.
test("an upstream counts as connected while connections overlap, from the first that it has accepted", async () => {
    const { clock, table } = createTable([engine("a")]);
    const connectedForMs = (): number | undefined => table.candidates(service, prompt("s"))[0]?.connectedForMs;
    const first = table.trackConnection(engine("a"));
    await clock.advance(1_000);
    first.recordEstablished();
    await clock.advance(2_000);
    const second = table.trackConnection(engine("a"));
    second.recordEstablished();
    first.end();
    await clock.advance(3_000);
    expect(connectedForMs()).toBe(5_000);
    // Not accepted before the last one was closed, so that the upstream may have restarted in between.
    const third = table.trackConnection(engine("a"));
    second.end();
    await clock.advance(500);
    expect(connectedForMs()).toBe(0);
    third.recordEstablished();
    await clock.advance(500);
    expect(connectedForMs()).toBe(500);
});

// Guards against engines that stand idle for streams that run out of time while prompts are refused.
test("a prompt avoids the engines at which slow streams go on, unless it would wait for longer at all others", () => {
    const ids = Array.from({ length: 20 }, (_, index) => `engine-${index + 10}`);
    const { table, place } = createTable(ids.map(id => engine(id)));
    const avoiding = (subject: string): PlacementRequest => prompt(subject, { avoidsReliefEngines: true });
    const [relief = "", ...others] = ids;
    const chosen = Array.from({ length: 100 }, (_, index) => upstreamOf(place(avoiding(`s${index}`))));
    expect(chosen).not.toContain(relief);
    others.forEach(id =>
        Array.from({ length: 8 }).forEach((_, index) =>
            table.trackRequest(id as UpstreamId, prompt(`busy-${id}-${index}`))
        )
    );
    expect(upstreamOf(place(avoiding("s1")))).toBe(relief);
});
