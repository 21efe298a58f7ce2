// Guards against hosts that lose their links to some upstreams only: sends that hang there until their deadline, upstreams that
// are never tried again once the link is back, and requests that are given up although an answer may come.
import { createFakeClock, type UpstreamId } from "@ibislanding/core";
import fc from "fast-check";
import { createUpstreamReachability } from "../src";

const IDS = ["u-0", "u-1", "u-2", "u-3"].map(id => id as UpstreamId);

const STEPS = ["connected", "unreachable", "lost", "progress", "probed", "probe-failed"] as const;

const step = fc.record({ kind: fc.constantFrom(...STEPS), index: fc.nat(IDS.length - 1), afterMs: fc.nat(400) });

/** Applies a step; returns whether it shows that the upstream is reached, undefined if it shows nothing. */
const apply = (
    reachability: ReturnType<typeof createUpstreamReachability>,
    upstreamId: UpstreamId,
    nowMs: number,
): Record<typeof STEPS[number], () => boolean | undefined> => ({
    connected: () => {
        reachability.recordConnection(upstreamId);
        return true;
    },
    unreachable: () => {
        reachability.recordUnreachable(upstreamId);
        return false;
    },
    lost: () => {
        reachability.recordFailure(upstreamId);
        return undefined;
    },
    progress: () => {
        reachability.recordProgress(upstreamId);
        return undefined;
    },
    probed: () => {
        reachability.recordProbe({ upstreamId, startedAtMs: nowMs - 5, isListening: true });
        return true;
    },
    // Began when the process was stalled, so that it shows nothing.
    "probe-failed": () => {
        reachability.recordProbe({ upstreamId, startedAtMs: nowMs - 5_000, isListening: false });
        return undefined;
    },
});

test("an upstream is unreached from a failed attempt to connect until one succeeds, and no send is given up before", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(step, { maxLength: 40 }), async steps => {
            const clock = createFakeClock();
            const reachability = createUpstreamReachability(clock.monotonicMs);
            const reached = new Map<UpstreamId, boolean>();
            for (const { kind, index, afterMs } of steps) {
                await clock.advance(afterMs);
                const upstreamId = IDS[index] as UpstreamId;
                const shown = apply(reachability, upstreamId, clock.monotonicMs())[kind]();
                reached.set(upstreamId, shown ?? reached.get(upstreamId) ?? true);
                IDS.forEach(id => expect(reachability.isUnreached(id)).toBe(reached.get(id) === false));
                const send = { silentForMs: 1_000, patienceMs: 1_000 };
                IDS.forEach(id => {
                    expect(reachability.isHung({ ...send, upstreamId: id, mayRepeat: false })).toBe(false);
                    expect(
                        reachability.isHung({ ...send, upstreamId: id, mayRepeat: true }) && reached.get(id) !== false,
                    )
                        .toBe(false);
                });
            }
            await clock.advance(1_000);
            const due = reachability.selectReprobed(IDS);
            expect([...due].sort()).toEqual(IDS.filter(id => reached.get(id) === false));
            due.forEach(id => reachability.recordProbe({ upstreamId: id, startedAtMs: 0, isListening: true }));
            expect(reachability.hasUnreached()).toBe(false);
        }),
        { seed: 37, numRuns: 300 },
    );
});

// Guards against requests that are refused one after the other because the last check ended just before the cut.
test("a refused connection leads to a check at once, although one has just succeeded", async () => {
    const clock = createFakeClock();
    const reachability = createUpstreamReachability(clock.monotonicMs);
    const [first, second] = IDS as [UpstreamId, UpstreamId];
    await clock.advance(1_000);
    reachability.recordCheck({ startedAtMs: 995, probes: [{ upstreamId: first, isListening: true }] });
    await clock.advance(5);
    reachability.recordUnreachable(second);
    expect(reachability.isCheckDue(undefined, undefined)).toBe(true);
    reachability.recordCheck({ startedAtMs: 1_005, probes: [{ upstreamId: first, isListening: true }] });
    await clock.advance(5);
    reachability.recordUnreachable(second);
    expect(reachability.isCheckDue(undefined, undefined)).toBe(false);
});

test("upstreams that are no longer registered are not probed", () => {
    const reachability = createUpstreamReachability(() => 10_000);
    IDS.forEach(id => reachability.recordUnreachable(id));
    reachability.selectReprobed(IDS.slice(0, 1));
    expect(IDS.filter(reachability.isUnreached)).toEqual(IDS.slice(0, 1));
});

test("a service without upstreams is not cut off", () => {
    const clock = createFakeClock();
    const reachability = createUpstreamReachability(clock.monotonicMs);
    const upstreamId = IDS[0] as UpstreamId;
    reachability.recordCheck({ startedAtMs: 0, probes: [{ upstreamId, isListening: false }] });
    expect(reachability.reachesUpstreams()).toBe(false);
    reachability.recordCheck({ startedAtMs: 0, probes: [] });
    expect(reachability.reachesUpstreams()).toBe(true);
});
