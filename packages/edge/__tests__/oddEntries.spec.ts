// Guards against one odd entry of another writer that costs more than itself: hosts that end, requests without an answer, lists
// that are no longer followed, and sound rows that are dropped with an odd one.
import type { GatewayConfiguration } from "@ibislanding/gateway";
import { createServer } from "node:http";
import { decodeHostReport } from "../src/decodeHostReport";
import { parseHostEntry } from "../src/parseHostEntry";
import { parseRolloutState } from "../src/rollouts/parseRolloutState";
import { createTestStore } from "./support/createTestStore";
import { findFreePort } from "./support/findFreePort";
import { pauseMs } from "./support/pauseMs";
import { sendTestRequest } from "./support/sendTestRequest";
import { createStoredUpstream, createTestConfiguration, startTestHost } from "./support/startTestHost";

const WATCH_MS = 800;
const REQUESTS_AT_ONCE = 10;

const startUpstream = async () => {
    const port = await findFreePort();
    const server = createServer((request, response) => {
        request.resume();
        response.writeHead(200, { "X-Request": String(request.headers["x-request"]) });
        response.end("{}");
    });
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
    return {
        port,
        [Symbol.asyncDispose]: async () => {
            server.closeAllConnections();
            server.close();
        },
    };
};

const configuration: GatewayConfiguration = {
    ...createTestConfiguration(1, "k1"),
    routes: createTestConfiguration(1, "k1").routes.map(route => ({
        ...route,
        kind: "repeatable",
        maximumAttempts: 3,
    })),
};

const ODD_ENTRIES = [
    [
        "port 99999",
        (port: number) =>
            JSON.stringify({ ...createStoredUpstream("odd", port), address: { ip: "127.0.0.1", port: 99_999 } }),
    ],
    [
        "an address that is none",
        (port: number) => JSON.stringify({ ...createStoredUpstream("odd", port), address: { ip: "10.0.0.999", port } }),
    ],
    ["text that the decoder throws at", () => "{"],
] as const;

test.each(ODD_ENTRIES)("with %s in one entry, requests are served and the list is followed", async (_, entryOf) => {
    const unhandled: unknown[] = [];
    const onUnhandled = (reason: unknown): void => void unhandled.push(reason);
    process.on("unhandledRejection", onUnhandled);
    const store = createTestStore();
    await using first = await startUpstream();
    await using second = await startUpstream();
    store.write("configuration", JSON.stringify(configuration));
    store.write("upstreams/odd", entryOf(first.port));
    // It has room for all requests, so that none is refused for want of capacity.
    store.write(
        "upstreams/u-0",
        JSON.stringify({ ...createStoredUpstream("u-0", first.port), slots: REQUESTS_AT_ONCE }),
    );
    const started = await startTestHost(store, "host-0", [], { relays: true });
    await using _host = started.host;
    await pauseMs(WATCH_MS);
    const send = () => sendTestRequest(started.callers, { path: "/orders/1", body: "{}" });
    const statuses = await Promise.all(Array.from({ length: REQUESTS_AT_ONCE }, send));
    expect(new Set(statuses)).toEqual(new Set([200]));
    store.write("upstreams/u-1", JSON.stringify(createStoredUpstream("u-1", second.port)));
    store.remove("upstreams/u-0");
    await pauseMs(WATCH_MS);
    await first[Symbol.asyncDispose]();
    expect(new Set(await Promise.all(Array.from({ length: 4 }, send)))).toEqual(new Set([200]));
    expect(unhandled).toEqual([]);
    process.off("unhandledRejection", onUnhandled);
}, 30_000);

test.each([
    ["an address without a port", { address: "10.0.0.1" }],
    ["a port out of range", { address: "10.0.0.1:99999" }],
    ["a relay port out of range", { relayAddress: "10.0.0.1:65536" }],
    ["infinitely many cores", { cores: 1e400 }],
    ["a negative number of cores", { cores: -1 }],
])("a host entry with %s is left out", (_, fields) => {
    const entry = { address: "10.0.0.1:7600", availabilityZone: "z", cores: 1, relayAddress: "10.0.0.1:7602" };
    const text = JSON.stringify({ ...entry, ...fields }).replace(`"cores":null`, `"cores":1e400`);
    expect(parseHostEntry(JSON.stringify(entry))).toEqual(entry);
    expect(parseHostEntry(text)).toBeUndefined();
});

test("a rollout state with odd evidence is left out", () => {
    const state = {
        orderId: "o",
        service: "s",
        target: "v2",
        reason: "",
        startedAtMs: 1,
        phaseSinceMs: 1,
        deadlineMs: 2,
        share: 0.1,
        phase: "canary",
        excluded: [],
        evidenceAtStart: [{ service: "s", version: "v1", route: "r", sent: 1, answers: 1, failures: 0, slow: 0 }],
    };
    expect(parseRolloutState(JSON.stringify(state))).toBeDefined();
    expect(parseRolloutState(JSON.stringify({ ...state, evidenceAtStart: [null] }))).toBeUndefined();
});

const REPORT = {
    hostId: "h.1",
    hostName: "h",
    address: "10.0.0.1:7600",
    collectorId: "",
    sequence: 1,
    wallMs: 1,
    positions: {},
    isInContact: true,
    hostCount: 1,
    oldestMs: 0,
    loads: [],
    accounts: [],
    levels: [],
    began: [],
    work: [],
    leaving: [],
    usageRecords: [],
    limits: [],
    versions: [],
    quarantine: { suspects: [], cleared: [], quarantined: [] },
};

test.each([
    "loads",
    "accounts",
    "levels",
    "began",
    "work",
    "leaving",
    "usageRecords",
    "limits",
    "versions",
    "brittle",
    "cutOff",
    "demand",
])(
    "a report of a peer whose %s hold something else than rows is not applied",
    field => {
        expect(decodeHostReport(JSON.stringify(REPORT))).toBeDefined();
        expect(decodeHostReport(JSON.stringify({ ...REPORT, [field]: [null] }))).toBeUndefined();
        expect(decodeHostReport(JSON.stringify({ ...REPORT, [field]: [[{}]] }))).toBeUndefined();
    },
);
