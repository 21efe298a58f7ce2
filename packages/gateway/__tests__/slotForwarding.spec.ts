// Guards against hosts without a slot of a brittle service that refuse all their requests while slots of other hosts are free,
// and against requests that go round: one that was forwarded must not be forwarded again.
import { createFakeClock, createHasher, type ServiceName } from "@ibislanding/core";
import { createStoredUpstream } from "../../edge/__tests__/support/startTestHost";
import { createBrittleUpstreams } from "../src/brittle/createBrittleUpstreams";
import type { ForwardContext } from "../src/forwarding/forwardContext";
import { forwardRequest } from "../src/forwarding/forwardRequest";
import type { RelayRequestOptions } from "../src/forwarding/relayRequestOptions";
import type { RelayRequestResult } from "../src/forwarding/relayRequestResult";
import { sendToUpstream } from "../src/forwarding/sendToUpstream";

jest.mock("../src/forwarding/sendToUpstream", () => ({
    sendToUpstream: jest.fn(async () => ({ kind: "done", status: 200 })),
}));
jest.mock("../src/placement/chooseUpstream", () => ({
    chooseUpstream: () => ({ kind: "send", upstream: { upstreamId: "u-1" }, predictedMs: 0 }),
}));
jest.mock("../src/forwarding/toPlacementRequest", () => ({ toPlacementRequest: () => ({}) }));
jest.mock("../src/forwarding/findQuarantinedFeature", () => ({ findQuarantinedFeature: () => undefined }));

const SERVICE = "orders" as ServiceName;
const SHARED_MS = 1_000_000;
const REFUSED = {
    kind: "refused",
    status: 503,
    reason: "paused",
    retryAfterMs: 250,
    hasRun: false,
} as unknown as RelayRequestResult;
const NOT_RUN = { kind: "not-run", reason: "no_peer" } as unknown as RelayRequestResult;

/** Forwards one request at a host for which the given hosts own the slots; returns the result and the calls. */
const forward = async (
    slotOwners: readonly string[],
    result: RelayRequestResult,
    relayed?: ForwardContext["options"]["relayed"],
) => {
    const relaySend = jest.fn(async (_request: RelayRequestOptions) => result);
    const sends = jest.mocked(sendToUpstream);
    sends.mockClear();
    const context = {
        options: {
            clock: createFakeClock(),
            request: { method: "POST", url: "/", rawHeaders: [] },
            clientResponse: { isStarted: () => false },
            isTooLateToRun: () => false,
            retryBudget: {
                recordRequest: () => undefined,
                tryAcquire: () => true,
                hasRetry: () => true,
                charge: () => undefined,
            },
            quarantine: { find: () => undefined, mayRepeat: () => true },
            accounts: { refund: () => undefined },
            upstreams: {
                candidates: () => [],
                areLoadsOld: () => false,
                brittle: { isRestricted: () => false, slotOwners: () => slotOwners },
            },
            relay: {
                isCutOff: () => false,
                isUnreached: () => false,
                betterConnectedHosts: () => undefined,
                checked: async () => undefined,
                hasLiveConnections: () => false,
                send: relaySend,
            },
            relayed,
        },
        admitted: {
            head: { promptParts: [] },
            service: SERVICE,
            route: { maximumAttempts: 5 },
            admission: { kind: "entitled" },
            dueAtMs: 3_000,
        },
        progress: { attempts: 0 },
        features: { watched: () => [], all: () => [], parts: [] },
        excluded: new Set(),
        ended: new AbortController().signal,
        body: Buffer.alloc(0),
        lostRuns: 0,
        runs: 0,
        mayRepeat: false,
        isSendRecorded: false,
    } as unknown as ForwardContext;
    const answer = await forwardRequest(context);
    return {
        answer: answer.val,
        hosts: relaySend.mock.calls.map(([request]) => request.hosts),
        sends: sends.mock.calls,
    };
};

test("a host without a slot forwards its request to the hosts that have slots, and passes their refusal on", async () => {
    const { answer, hosts, sends } = await forward(["h1", "h2"], REFUSED);
    expect(hosts).toEqual([["h1", "h2"]]);
    expect(answer).toEqual({ status: 503, reason: "paused", retryAfterMs: 250 });
    expect(sends).toEqual([]);
});

test("a host with a slot, and one to which a request was forwarded, place it themselves", async () => {
    const own = await forward([], REFUSED);
    expect([own.answer, own.hosts.length, own.sends.length]).toEqual([200, 0, 1]);
    const forwarded = await forward(["h1"], REFUSED, {} as ForwardContext["options"]["relayed"]);
    expect([forwarded.answer, forwarded.hosts.length, forwarded.sends.length]).toEqual([200, 0, 1]);
});

test("a request that no other host took is placed here", async () => {
    const { answer, hosts, sends } = await forward(["h1"], NOT_RUN);
    expect([answer, hosts.length, sends.length]).toEqual([200, 1, 1]);
});

test("hosts without slots agree on the hosts that have them; none forwards in a small group or without a statement", async () => {
    const hasher = await createHasher();
    const upstreams = Array.from({ length: 6 }, (_, index) => ({
        ...createStoredUpstream(`u-${index}`, 1),
        service: SERVICE,
        slots: 6,
    }));
    const createGroup = (count: number) => {
        const names = Array.from({ length: count }, (_, index) => `10.0.0.${index}:7000`);
        return names.map(ownAddress =>
            createBrittleUpstreams({
                clock: createFakeClock(),
                hasher,
                sharedNowMs: () => SHARED_MS,
                ownAddress,
                hostAddresses: () => names,
                upstreamsOf: () => upstreams,
            })
        );
    };
    const large = createGroup(82);
    large.forEach(brittle => expect(brittle.slotOwners(SERVICE)).toEqual([]));
    const small = createGroup(16);
    [...large, ...small].forEach(brittle =>
        upstreams.slice(0, 1).forEach(upstream => brittle.observe(upstream, 5, SHARED_MS))
    );
    const owners = large.flatMap((brittle, index) => brittle.ownSlots(SERVICE) > 0 ? [`10.0.0.${index}:7000`] : []);
    expect(owners.length).toBe(36);
    large.forEach(brittle =>
        expect([...brittle.slotOwners(SERVICE)].sort()).toEqual(brittle.ownSlots(SERVICE) > 0 ? [] : [...owners].sort())
    );
    small.forEach(brittle => expect(brittle.slotOwners(SERVICE)).toEqual([]));
});
