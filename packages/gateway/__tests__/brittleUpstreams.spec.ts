// Guards what a single host decides for brittle upstreams: who owns a slot, when a statement holds, and when it ends. A
// mistake lets hosts send beyond the slots, or restricts upstreams that state nothing.
import { createFakeClock, createHasher, type UpstreamId } from "@ibislanding/core";
import { createStoredUpstream } from "../../edge/__tests__/support/startTestHost";
import { createBrittleUpstreams } from "../src/brittle/createBrittleUpstreams";
import { orderForSlots } from "../src/brittle/orderForSlots";
import type { UpstreamRecord } from "../src/upstreams/upstreamRecord";

const SHARED_MS = 1_000_000;
const SLOTS = 8;
const IDLE = { own: 0, all: 0, roundTripMs: 1 };
const [FIRST, SECOND] = ["u-1", "u-2"].map(id => ({ ...createStoredUpstream(id, 1), slots: SLOTS })) as [
    UpstreamRecord,
    UpstreamRecord,
];
const RESTARTED = { ...FIRST, startedAtMs: 2 };

const createBrittle = async () => {
    let nowMs = 0;
    const clock = { ...createFakeClock(), monotonicMs: () => nowMs };
    const brittle = createBrittleUpstreams({
        clock,
        hasher: await createHasher(),
        sharedNowMs: () => SHARED_MS + nowMs,
        ownAddress: "a",
        hostAddresses: () => ["a", "b"],
        upstreamsOf: () => [FIRST, SECOND],
    });
    const advance = (durationMs: number): void => {
        nowMs += durationMs;
    };
    /** Lets a statement be known for long enough for all hosts to send. */
    const restrict = (rejectionsPerS: number): void => {
        brittle.observe(FIRST, rejectionsPerS, SHARED_MS + nowMs);
        brittle.waitMs(FIRST, IDLE);
        advance(5_000);
    };
    return { brittle, advance, restrict, nowMs: () => SHARED_MS + nowMs };
};

test("each slot belongs to one host, and hosts have nearly as many as others", async () => {
    const hasher = await createHasher();
    const hosts = new Map(Array.from({ length: 82 }, (_, index) => [`h${index}`, hasher.hash32(`h${index}`)]));
    const upstreams = Array.from({ length: 6 }, (_, index) => ({
        upstreamId: `u-${index}` as UpstreamId,
        idHash: hasher.hash32(`u-${index}`),
        slots: 16,
    }));
    const orders = orderForSlots(upstreams, hosts);
    upstreams.forEach(({ upstreamId }) =>
        expect([...orders.get(upstreamId) ?? []].sort()).toEqual([...hosts.keys()].sort())
    );
    const counts = [...hosts.keys()].map(host => [...orders.values()].filter(order => order.indexOf(host) < 16).length);
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
    expect(orderForSlots([...upstreams].reverse(), new Map([...hosts].reverse()))).toEqual(orders);
});

test("an upstream without a statement is not restricted and adds nothing to reports", async () => {
    const { brittle, nowMs } = await createBrittle();
    expect(brittle.observe(FIRST, undefined, nowMs())).toBe(false);
    expect([brittle.waitMs(FIRST, { ...IDLE, own: 100, all: 100 }), brittle.rows()]).toEqual([0, []]);
});

test("the newest statement holds, whoever reports it, and a late one changes nothing", async () => {
    const { brittle, nowMs } = await createBrittle();
    brittle.observe(FIRST, 5, nowMs());
    expect(brittle.observeRow(["u-1", 1, nowMs() - 1, 2, 0, 0])).toBe(false);
    expect(brittle.observeRow(["u-1", 1, nowMs() + 1, 3, 0, 0])).toBe(true);
    expect(brittle.rows()).toEqual([["u-1", 1, nowMs() + 1, 3, 0, 0]]);
});

test("a host uses its own slots only, and sends one request after the other", async () => {
    const { brittle, advance, restrict } = await createBrittle();
    restrict(5);
    expect(brittle.waitMs(FIRST, IDLE)).toBe(0);
    const send = brittle.trackSend(FIRST);
    expect(brittle.waitMs(FIRST, { ...IDLE, own: 1, all: 1 })).toBeGreaterThan(0);
    advance(50);
    expect(brittle.waitMs(FIRST, { ...IDLE, own: 1, all: 1 })).toBe(0);
    expect(brittle.waitMs(FIRST, { ...IDLE, own: SLOTS / 2, all: SLOTS / 2 })).toBeGreaterThan(0);
    expect(brittle.waitMs(FIRST, { ...IDLE, all: SLOTS })).toBeGreaterThan(0);
    // The slot of a request that was broken off is not free at once.
    send.end(true);
    expect(brittle.waitMs(FIRST, { ...IDLE, own: SLOTS / 2 - 1, all: 3 })).toBeGreaterThan(0);
});

test("a rejection reduces the slots in use, also one that a peer reports", async () => {
    const { brittle, advance, restrict, nowMs } = await createBrittle();
    restrict(1);
    const load = { ...IDLE, own: SLOTS / 2 - 1, all: SLOTS / 2 - 1 };
    expect(brittle.waitMs(FIRST, load)).toBe(0);
    brittle.observeRow(["u-1", 1, nowMs(), 1, nowMs() - 500, 0]);
    expect(brittle.waitMs(FIRST, load)).toBeGreaterThan(0);
    advance(10_000);
    expect(brittle.waitMs(FIRST, load)).toBe(0);
});

test("others of the service, and a new start, are presumed brittle until they answer", async () => {
    const { brittle, nowMs } = await createBrittle();
    brittle.observe(FIRST, 5, nowMs());
    expect([brittle.isBrittle(SECOND), brittle.isBrittle(RESTARTED)]).toEqual([true, true]);
    brittle.observe(SECOND, undefined, nowMs());
    brittle.observe(RESTARTED, undefined, nowMs());
    expect([brittle.isBrittle(SECOND), brittle.isBrittle(RESTARTED)]).toEqual([false, false]);
    expect(brittle.isBrittle(FIRST)).toBe(true);
});

test("a restriction that is no longer stated is lifted step by step", async () => {
    const { brittle, advance, restrict, nowMs } = await createBrittle();
    restrict(5);
    brittle.observe(FIRST, undefined, nowMs());
    const maxima = Array.from({ length: 7 }, () => {
        const own = Array.from({ length: 20 }, (_, index) => index).findIndex(count =>
            brittle.waitMs(FIRST, { ...IDLE, own: count, all: count }) > 0
        );
        advance(1_000);
        return own;
    });
    // Of two hosts, this one does not have the odd slot.
    expect(maxima).toEqual([4, 4, 5, 6, 6, 7, -1]);
});

test("a host that has just started waits if a peer reports a statement, and not if an answer makes it", async () => {
    const [informed, first] = [await createBrittle(), await createBrittle()];
    informed.brittle.observeRow(["u-1", 1, informed.nowMs(), 5, 0, 0]);
    expect(informed.brittle.waitMs(FIRST, IDLE)).toBe(2_000);
    first.brittle.observe(FIRST, 5, first.nowMs());
    expect(first.brittle.waitMs(FIRST, IDLE)).toBeLessThan(2_000);
});
