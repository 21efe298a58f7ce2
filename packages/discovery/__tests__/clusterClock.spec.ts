import { createFakeClock, createRandom, type HostId, median } from "@ibislanding/core";
import { createClusterClock } from "../src";

const trueMs = 1_000_000;
const observationLifetimeMs = 3_000;

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

// The clock keeps the peers' offsets in order between observations. An order that is kept too long, or an own offset in the
// wrong place of it, would shift usage windows at one host only.
test("the clock is at the lower median of all current offsets after any sequence of observations and pauses", async () => {
    for (let seed = 1; seed <= 50; seed++) {
        const random = createRandom(seed);
        const clock = createFakeClock();
        const clusterClock = createClusterClock(clock);
        const observed = new Map<string, { readonly offsetMs: number; readonly atMs: number; }>();
        for (let step = 0; step < 40; step++) {
            const hostId = `host-${random.nextInt(6)}`;
            if (random.nextFloat() < 0.5) {
                const offsetMs = random.nextInt(2_000) - 1_000;
                clusterClock.observePeer(hostId as HostId, clock.monotonicMs() + offsetMs);
                observed.set(hostId, { offsetMs, atMs: clock.monotonicMs() });
            }
            else {
                await clock.advance(random.nextInt(observationLifetimeMs));
            }
            const nowMs = clock.monotonicMs();
            const current = [...observed.values()].filter(({ atMs }) => nowMs - atMs <= observationLifetimeMs);
            const offsets = [clock.wallMs() - nowMs, ...current.map(({ offsetMs }) => offsetMs)];
            expect(clusterClock.nowMs()).toBeCloseTo(nowMs + (median(offsets) ?? 0), 6);
        }
    }
});
