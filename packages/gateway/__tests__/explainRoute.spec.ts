// Guards against an explanation that names another upstream than a request would get, or that changes what is counted: a
// stated limit, the slots of brittle upstreams, the load, the quarantine or the order of the next decisions.
import {
    createFakeClock,
    createHasher,
    ErrorCode,
    type ServiceName,
    type SoftwareVersion,
    type UpstreamId,
} from "@ibislanding/core";
import type { FeatureId, QuarantinedFeature } from "@ibislanding/quarantine";
import type { VersionRule } from "@ibislanding/rollouts";
import { compileConfiguration, createUpstreamTable, explainRoute, type RouteQuery } from "../src";
import { createRecord } from "./support/startTestGateway";

const service = "orders" as ServiceName;
const V2 = "v2" as SoftwareVersion;
const PAUSE_MS = 700;
const REPORT_AGE_MS = 400;

const query: RouteQuery = {
    host: "shop.example",
    path: "/orders/1",
    apiKey: undefined,
    promptTokens: 2_000,
    promptParts: [{ partId: "shared", tokens: 1_500 }, { partId: "own", tokens: 500 }],
    deadlineMs: undefined,
};

const createHost = async () => {
    const clock = createFakeClock();
    const configuration = compileConfiguration({
        version: 7,
        routes: [{
            name: "orders",
            host: "shop.example",
            pathPrefix: "/orders/",
            kind: "stream",
            isResumable: false,
            timeoutMs: 5_000,
            objectiveMs: 1_000,
            maximumAttempts: 1,
            priority: 3,
            allowsAnonymous: true,
            destinations: [{ service, weight: 1 }],
        }],
        services: [{
            name: service,
            maximumConnections: 300,
            engine: { slots: 8, cacheTokens: 100_000, supportsMoves: true },
            scaling: undefined,
        }],
        accounts: [],
        limits: { maximumHeaderBytes: 16_384, maximumBodyBytes: 1_000, idleTimeoutMs: 5_000 },
    });
    const placements: unknown[] = [];
    const upstreams = createUpstreamTable({
        sharedNowMs: clock.monotonicMs,
        ownAddress: "self",
        hostAddresses: () => ["self", "peer"],
        clock,
        hasher: await createHasher(),
        peerTimeoutMs: () => 1_500,
        unobservedShare: () => 0,
        serviceOf: name => configuration.servicesByName.get(name),
        onPlaced: placement => void placements.push(placement),
    });
    const state = { rule: { kind: "any" } as VersionRule, features: [] as readonly QuarantinedFeature[] };
    const options = {
        configuration,
        upstreams,
        quarantine: { features: () => state.features },
        peekRule: () => state.rule,
        isCutOff: () => false,
        streamRelief: { isActive: () => false },
    };
    const explain = (asked: Partial<RouteQuery> = {}) => explainRoute(options, { ...query, ...asked });
    return { clock, upstreams, placements, state, options, explain };
};

const start = (id: string, fields: Parameters<typeof createRecord>[2] = {}) =>
    createRecord(id, 1, { slots: 8, ...fields });

test("explains the decision and the inputs of each candidate", async () => {
    const { clock, upstreams, state, explain } = await createHost();
    const paused = start("paused");
    upstreams.replace([
        start("idle"),
        start("busy"),
        paused,
        start("leaving", { isLeaving: true }),
        start("down"),
        start("target", { softwareVersion: V2 }),
    ]);
    upstreams.observePeer("peer", new Map([["busy" as UpstreamId, { running: 3, backlogTokens: 40_000 }]]), 1);
    await clock.advance(REPORT_AGE_MS);
    upstreams.pause(paused, PAUSE_MS);
    upstreams.reportFailure("down" as UpstreamId, "unreachable");
    state.rule = { kind: "except", versions: new Set([V2]) };
    const result = explain().unwrap();
    expect(result).toMatchObject({ configurationVersion: 7, route: "orders", priority: 3, remainingMs: 5_000 });
    const [destination] = result.destinations;
    expect(destination).toMatchObject({
        service,
        versionRule: { kind: "except", versions: [V2] },
        decision: { kind: "send", upstreamId: "idle", isFallback: false },
    });
    const byId = new Map(destination?.candidates.map(candidate => [candidate.upstreamId, candidate]));
    const chosen = byId.get("idle");
    expect(destination?.decision).toMatchObject({ predictedMs: chosen?.predictedMs });
    expect(chosen).toMatchObject({ running: 0, backlogMs: 0, loadAgeMs: undefined, isVersionAllowed: true });
    expect(byId.get("busy")).toMatchObject({ running: 3, loadAgeMs: REPORT_AGE_MS });
    expect(byId.get("busy")?.predictedMs).toBeGreaterThan(chosen?.predictedMs ?? Infinity);
    expect(byId.get("paused")).toMatchObject({ pausedMs: PAUSE_MS });
    expect(byId.get("leaving")).toMatchObject({ isLeaving: true });
    expect(byId.get("down")).toMatchObject({ isEjected: true });
    expect(byId.get("target")).toMatchObject({ isVersionAllowed: false });

    state.rule = { kind: "only", version: "v3" as SoftwareVersion, upstreamIds: undefined, excluded: new Set([V2]) };
    expect(explain().unwrap().destinations[0]?.decision).toMatchObject({ upstreamId: "idle", isFallback: true });
    state.rule = { kind: "except", versions: new Set([V2, start("idle").softwareVersion]) };
    expect(explain().unwrap().destinations[0]?.decision).toMatchObject({
        kind: "refuse",
        reason: "no-upstream-of-version",
    });
});

test("names quarantined parts, and what is wrong with a query", async () => {
    const { state, options, explain } = await createHost();
    state.features = [{
        featureId: "part:shared" as FeatureId,
        sinceMs: 1,
        endedAtMs: 0,
        refusedAtMs: 0,
        firstCrashAtMs: 0,
        crashes: 3,
        isConfirmed: true,
    }];
    expect(explain().unwrap().quarantinedParts).toEqual(["shared"]);
    const failureOf = (result: ReturnType<typeof explain>) => result.err ? result.val : undefined;
    expect(failureOf(explain({ host: "other.example" }))).toMatchObject({
        code: ErrorCode.UnknownRoute,
        message: expect.stringContaining("no route of host \"other.example\"") as string,
    });
    expect(failureOf(explain({ path: "/carts/1" }))?.message).toContain("for the path \"/carts/1\"");
    expect(failureOf(explainRoute({ ...options, configuration: undefined }, query))?.code).toBe(ErrorCode.NotReady);
});

test("explanations change nothing that is counted", async () => {
    const { clock, upstreams, placements, explain } = await createHost();
    const [limited, open] = [start("limited"), start("open")];
    upstreams.replace([limited, open]);
    upstreams.observeLimit(limited, 1, 0);
    await clock.advance(10_000);
    const request = {
        ...query,
        objectiveMs: 1_000,
        remainingMs: 5_000,
        requiresSpareCapacity: false,
        requiresKnownVersion: false,
        excluded: new Set<UpstreamId>(),
        softwareVersion: undefined,
        versionRule: { kind: "any" } as const,
    };
    const snapshot = () => ({
        candidates: upstreams.candidates(service, request),
        loads: [...upstreams.ownLoads()],
        limits: upstreams.limits(),
        brittle: upstreams.brittle.rows(),
        versions: upstreams.versionRows(),
        leaving: upstreams.leaving(),
        placements: [...placements],
    });
    const before = snapshot();
    const first = explain();
    Array.from({ length: 20 }, () => expect(explain()).toEqual(first));
    expect(snapshot()).toEqual(before);

    // The state of slots changes when it is asked for, so that it must not be.
    upstreams.brittle.observe(open, 2, clock.monotonicMs());
    const asked = jest.spyOn(upstreams.brittle, "waitMs");
    expect(explain().unwrap().destinations[0]).toMatchObject({
        decision: { kind: "unknown", reason: "brittle-upstreams" },
        candidates: [],
    });
    expect(asked).not.toHaveBeenCalled();
});
