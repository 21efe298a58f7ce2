// Guards against a request that may not be repeated and is run again by a peer after an engine has moved its run, and against
// a moved run that goes on after a peer has delivered later events: the caller would receive events twice.
import { createFakeClock } from "@ibislanding/core";
import type { AttemptOutcome } from "../src/forwarding/attemptOutcome";
import type { ForwardContext } from "../src/forwarding/forwardContext";
import { forwardRequest } from "../src/forwarding/forwardRequest";
import { sendToUpstream } from "../src/forwarding/sendToUpstream";

jest.mock("../src/forwarding/sendToUpstream", () => ({ sendToUpstream: jest.fn() }));
jest.mock("../src/placement/chooseUpstream", () => ({
    chooseUpstream: () => ({ kind: "send", upstream: { upstreamId: "u-1" }, predictedMs: 0 }),
}));
jest.mock("../src/forwarding/toPlacementRequest", () => ({ toPlacementRequest: () => ({}) }));
jest.mock("../src/forwarding/findQuarantinedFeature", () => ({ findQuarantinedFeature: () => undefined }));

const sends = jest.mocked(sendToUpstream);
const target = { upstreamId: "u-2" };
const moved = {
    kind: "moved",
    reason: "moved",
    continuation: { upstream: target, handle: "h" },
} as unknown as AttemptOutcome;

/** A stream whose run is moved by its engine at the moment at which the host is cut off. */
const createMovedStream = (mayRepeat: boolean) => {
    const state = { isCutOff: false };
    const relaySend = jest.fn(async () => {
        state.isCutOff = false;
        return { kind: "unknown", reason: "connection-lost" };
    });
    const context = {
        options: {
            clock: createFakeClock(),
            request: { method: "POST", url: "/", rawHeaders: [] },
            clientResponse: { isStarted: () => true },
            retryBudget: {
                recordRequest: () => undefined,
                tryAcquire: () => true,
                hasRetry: () => true,
                charge: () => undefined,
            },
            quarantine: { find: () => undefined, mayRepeat: () => true },
            upstreams: {
                candidates: () => [],
                isDeparting: () => false,
                areLoadsOld: () => false,
                brittle: { isRestricted: () => false, slotOwners: () => [] },
            },
            relay: {
                isCutOff: () => state.isCutOff,
                isUnreached: () => false,
                betterConnectedHosts: () => undefined,
                checked: async () => undefined,
                hasLiveConnections: () => true,
                send: relaySend,
            },
        },
        admitted: {
            head: { promptParts: [] },
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
        runs: 1,
        mayRepeat,
        isSendRecorded: true,
    } as unknown as ForwardContext;
    sends.mockReset();
    sends.mockImplementationOnce(async () => {
        state.isCutOff = true;
        return moved;
    });
    sends.mockImplementation(async () => ({ kind: "done", status: 200 }));
    return { context, relaySend };
};

test("a moved run that may not be repeated goes on at its engine instead of at a peer", async () => {
    const { context, relaySend } = createMovedStream(false);
    expect((await forwardRequest(context)).val).toBe(200);
    expect(relaySend).not.toHaveBeenCalled();
    expect(sends.mock.calls.map(([, upstream, , continuation]) => [upstream.upstreamId, continuation?.handle])).toEqual(
        [
            ["u-1", undefined],
            ["u-2", "h"],
        ],
    );
});

test("a moved run does not go on after a peer has run the request", async () => {
    const { context, relaySend } = createMovedStream(true);
    expect((await forwardRequest(context)).val).toBe(200);
    expect(relaySend).toHaveBeenCalledTimes(1);
    expect(sends.mock.calls.map(([, , , continuation]) => continuation?.handle)).toEqual([undefined, undefined]);
});
