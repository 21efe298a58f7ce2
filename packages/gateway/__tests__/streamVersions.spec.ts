// Guards against streams that go on at another version of an upstream's software than the one that began them.
import {
    type AccountId,
    createFakeClock,
    type RequestId,
    type ServiceName,
    type SoftwareVersion,
} from "@ibislanding/core";
import { chooseUpstream, type PlacementRequest, type RegisteredVersion } from "../src";
import { bindStream } from "../src/streams/bindStream";
import { createVersionHistory } from "../src/streams/createVersionHistory";
import { createRecord } from "./support/startTestGateway";

const ACCOUNT = "acme" as AccountId;
const SERVICE = "orders" as ServiceName;
const [V1, V2, V3] = ["v1", "v2", "v3"].map(version => version as SoftwareVersion) as [
    SoftwareVersion,
    SoftwareVersion,
    SoftwareVersion,
];

const known = (softwareVersion: SoftwareVersion, knownForMs: number): RegisteredVersion => ({
    softwareVersion,
    knownForMs,
});

const nothing = {
    origin: undefined,
    recordedForMs: 600_000,
    uptimeMs: 600_000,
    areVersionsComplete: true,
    areVersionsCurrent: true,
    peerVersions: [],
};

const origin = {
    requestId: "r1" as RequestId,
    accountId: ACCOUNT,
    service: SERVICE,
    softwareVersion: V1,
    attempt: 1,
};

test("a stream goes on at the version that is known to have begun it", () => {
    const versions = [known(V2, Infinity), known(V3, 5_000)];
    expect(bindStream({ ...nothing, origin }, versions, ACCOUNT)).toEqual({
        kind: "bound",
        service: SERVICE,
        softwareVersion: V1,
    });
});

test("a stream of another account is as unknown as one that never was", () => {
    const versions = [known(V1, Infinity), known(V2, Infinity)];
    const other = "other" as AccountId;
    expect(bindStream({ ...nothing, origin }, versions, other)).toEqual(bindStream(nothing, versions, other));
});

test.each<[string, Parameters<typeof bindStream>[0], readonly RegisteredVersion[], string]>([
    ["one version, at all hosts", nothing, [known(V1, Infinity)], "bound"],
    [
        "one version, at a host that may not have heard of another one",
        { ...nothing, areVersionsCurrent: false },
        [known(V1, Infinity)],
        "unknown",
    ],
    ["one version, and no answer", { ...nothing, recordedForMs: 0 }, [known(V1, Infinity)], "bound"],
    [
        "one version since this host started, and no answer",
        { ...nothing, recordedForMs: 0, uptimeMs: 5_000, areVersionsComplete: false },
        [known(V1, Infinity)],
        "unknown",
    ],
    [
        "one version since all hosts started, which may have missed another one",
        { ...nothing, recordedForMs: 4_000, uptimeMs: 5_000, areVersionsComplete: false, peerVersions: [V1] },
        [known(V1, Infinity)],
        "unknown",
    ],
    [
        "one version since all hosts started, and in the stored list",
        { ...nothing, recordedForMs: 4_000, uptimeMs: 5_000, peerVersions: [V1] },
        [known(V1, Infinity)],
        "bound",
    ],
    [
        "one version, but another host knows two",
        { ...nothing, peerVersions: [V1, V2] },
        [known(V1, Infinity)],
        "unknown",
    ],
    ["a second version since a short time", nothing, [known(V1, Infinity), known(V2, 5_000)], "bound"],
    ["a second version since longer than a stream lasts", nothing, [known(V1, Infinity), known(V2, 90_000)], "unknown"],
    ["two versions when the host started", nothing, [known(V1, Infinity), known(V2, Infinity)], "unknown"],
    [
        "a second version since a short time, and hosts that have started since",
        { ...nothing, recordedForMs: 3_000 },
        [known(V1, Infinity), known(V2, 5_000)],
        "unknown",
    ],
    [
        "two versions, the second of which this host saw soon after its own start",
        { ...nothing, uptimeMs: 6_000 },
        [known(V1, Infinity), known(V2, 5_000)],
        "unknown",
    ],
    [
        "no answer from other hosts",
        { ...nothing, recordedForMs: 0 },
        [known(V1, Infinity), known(V2, 5_000)],
        "unknown",
    ],
    ["no version at all", nothing, [], "unknown"],
])("a stream that no host knows: %s", (_, knowledge, versions, kind) => {
    expect(bindStream(knowledge, versions, ACCOUNT).kind).toBe(kind);
});

test("a version counts for as long as a stream that it began may last", async () => {
    const clock = createFakeClock();
    const history = createVersionHistory(clock, clock.wallMs);
    const versions = (): readonly string[] => history.versionsOf(SERVICE).map(({ softwareVersion }) => softwareVersion);
    history.observe([createRecord("a", 1)]);
    await clock.advance(100_000);
    history.observe([createRecord("a", 1), createRecord("b", 2, { softwareVersion: V2 })]);
    expect(history.versionsOf(SERVICE)).toEqual([known(V1, Infinity), known(V2, 0)]);
    await clock.advance(100_000);
    history.observe([createRecord("b", 2, { softwareVersion: V2 })]);
    await clock.advance(50_000);
    expect(versions()).toEqual([V1, V2]);
    await clock.advance(20_000);
    expect(versions()).toEqual([V2]);
});

test("versions that were there when the host first saw a service are not taken for new ones", async () => {
    const clock = createFakeClock();
    const history = createVersionHistory(clock, clock.wallMs);
    expect(history.versionsOf(SERVICE)).toEqual([]);
    await clock.advance(1_000);
    history.observe([createRecord("a", 1), createRecord("b", 2, { softwareVersion: V2 })]);
    expect(history.versionsOf(SERVICE)).toEqual([known(V1, Infinity), known(V2, Infinity)]);
});

test("a version that left before a host started counts for as long as a stream that it began may last", async () => {
    const clock = createFakeClock(1_000_000);
    const before = createVersionHistory(clock, clock.wallMs);
    before.observe([createRecord("a", 1), createRecord("b", 2, { softwareVersion: V2 })]);
    before.observe([createRecord("b", 2, { softwareVersion: V2 })]);
    const rows = before.rows();
    expect(rows).toEqual([[SERVICE, V1, clock.wallMs()], [SERVICE, V2, 0]]);
    await clock.advance(20_000);
    const after = createVersionHistory(clock, clock.wallMs);
    after.observe([createRecord("b", 2, { softwareVersion: V2 })]);
    after.observeRows(rows);
    expect(after.versionsOf(SERVICE).map(({ softwareVersion }) => softwareVersion).sort()).toEqual([V1, V2]);
    await clock.advance(41_000);
    expect(after.versionsOf(SERVICE)).toEqual([known(V2, Infinity)]);
});

test("a version that is listed as registered, and whose upstreams left with the hosts, was registered until now", async () => {
    const clock = createFakeClock(1_000_000);
    const history = createVersionHistory(clock, clock.wallMs);
    history.observeRows([[SERVICE, V1, 0]]);
    history.observe([createRecord("b", 2, { softwareVersion: V2 })]);
    expect(history.versionsOf(SERVICE).map(({ softwareVersion }) => softwareVersion)).toEqual([V1, V2]);
    expect(history.rows().map(([, version, goneAtMs]) => [version, goneAtMs > 0])).toEqual([[V1, true], [V2, false]]);
});

test("cache affinity and the least load do not overrule the version", () => {
    const candidate = (id: string, softwareVersion: SoftwareVersion, running: number) => ({
        record: createRecord(id, 1, { softwareVersion, slots: 8 }),
        isEngine: true,
        running,
        backlogMs: running * 10,
        promptMs: 10,
        affinityPenaltyMs: running,
        unexplainedDelayMs: 0,
        overheadMs: 0,
        roundTripMs: 1,
        isEjected: false,
        pausedMs: 0,
        isMissing: false,
        isAtConnectionLimit: false,
        connectedForMs: 0,
    });
    const request: PlacementRequest = {
        promptTokens: 0,
        promptParts: [],
        objectiveMs: 1_000,
        remainingMs: 6_000,
        requiresSpareCapacity: false,
        requiresKnownVersion: false,
        excluded: new Set(),
        softwareVersion: V1,
        versionRule: { kind: "any" },
    };
    const idle = candidate("idle", V2, 0);
    const busy = candidate("busy", V1, 4);
    expect(chooseUpstream([idle, busy], request)).toMatchObject({ kind: "send", upstream: { upstreamId: "busy" } });
    expect(chooseUpstream([idle], request)).toMatchObject({ kind: "refuse", reason: "no-upstream-of-version" });
    expect(chooseUpstream([idle, busy], { ...request, softwareVersion: undefined })).toMatchObject({
        upstream: { upstreamId: "idle" },
    });
});
