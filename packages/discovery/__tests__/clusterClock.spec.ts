import { createFakeClock, type HostId } from "@ibislanding/core";
import { createClusterClock } from "../src";

const trueMs = 1_000_000;

test("a jump of the host's own wall clock does not affect the cluster clock while peers report", async () => {
    const clock = createFakeClock(trueMs);
    const clusterClock = createClusterClock(clock);
    const observe = (offsetMs = 0): void =>
        ["a", "b", "c"].forEach((id, index) =>
            clusterClock.observePeer(id as HostId, trueMs + clock.monotonicMs() + (index === 0 ? offsetMs : 0))
        );
    observe();
    clock.shiftWallClock(5_000);
    await clock.advance(200);
    observe();
    expect(Math.abs(clusterClock.nowMs() - (trueMs + 200))).toBeLessThan(50);
});

test("a jump of one peer's wall clock does not affect the cluster clock", async () => {
    const clock = createFakeClock(trueMs);
    const clusterClock = createClusterClock(clock);
    ["a", "b", "c"].forEach((id, index) =>
        clusterClock.observePeer(id as HostId, trueMs + (index === 0 ? -40_000 : 0))
    );
    expect(Math.abs(clusterClock.nowMs() - trueMs)).toBeLessThan(50);
});

test("without peers the cluster clock follows the monotonic clock", async () => {
    const clock = createFakeClock(trueMs);
    const clusterClock = createClusterClock(clock);
    clock.shiftWallClock(-9_000);
    await clock.advance(1_000);
    expect(clusterClock.nowMs()).toBe(trueMs + 1_000);
});
