import { createFakeClock, type ServiceName } from "@ibislanding/core";
import { createDemandMeter } from "../src/createDemandMeter";
import { createWorkMeter } from "../src/createWorkMeter";
import { decodeHostReport } from "../src/decodeHostReport";
import { watchSuspensions } from "../src/watchSuspensions";

const service = "engine" as ServiceName;

test("constant work is measured as the number of engines that it keeps busy", async () => {
    const clock = createFakeClock();
    const meter = createWorkMeter(clock);
    for (let round = 0; round < 400; round++) {
        meter.add(service, 200);
        await clock.advance(100);
    }
    expect(meter.busyUpstreams().get(service)).toBeCloseTo(2, 0);
});

test("demand is estimated from the running fleet until work is observed; a peak is held for a while", async () => {
    const clock = createFakeClock();
    const meter = createDemandMeter(clock);
    const idle = meter.observe(service, 0, { onDemand: 6, reclaimable: 0 });
    await clock.advance(60_000);
    const later = meter.observe(service, 0, { onDemand: 6, reclaimable: 0 });
    expect([later.averageBusy, later.peakBusy]).toEqual([idle.averageBusy, idle.peakBusy]);
    expect(idle.averageBusy).toBeGreaterThan(1);
    meter.observe(service, 4, { onDemand: 6, reclaimable: 0 });
    await clock.advance(5_000);
    expect(meter.observe(service, 1, { onDemand: 6, reclaimable: 0 })).toMatchObject({ peakBusy: 4, currentBusy: 1 });
    await clock.advance(6_000);
    expect(meter.observe(service, 1, { onDemand: 6, reclaimable: 0 }).peakBusy).toBe(1);
});

test("the average estimated after a restart does not exceed the on-demand upstreams of a mixed fleet", () => {
    const meter = createDemandMeter(createFakeClock());
    const { averageBusy, peakBusy } = meter.observe(service, 0.5, { onDemand: 2, reclaimable: 9 });
    expect(averageBusy).toBeLessThanOrEqual(2);
    expect(peakBusy).toBeGreaterThan(2);
});

test("the average assumed for an already running fleet does not outlast its assumed peak", async () => {
    const clock = createFakeClock();
    const meter = createDemandMeter(clock);
    const running = { onDemand: 63, reclaimable: 0 };
    meter.observe(service, 0, running);
    const { averageBusy: assumed } = meter.observe(service, 10, running);
    await clock.advance(11_000);
    const { averageBusy, peakBusy } = meter.observe(service, 12, running);
    expect(peakBusy).toBe(12);
    expect(assumed).toBeGreaterThan(12);
    expect(averageBusy).toBeLessThanOrEqual(12);
});

test.each(["", "{", "[]", "{\"hostId\":\"a\"}", "{\"hostId\":\"a\",\"hostName\":\"a\",\"sequence\":\"1\"}"])(
    "decodeHostReport returns undefined for a malformed report: %s",
    text => expect(decodeHostReport(text)).toBeUndefined(),
);

test("a suspension or a change of the wall clock is logged once, with its length", async () => {
    const clock = createFakeClock(1_000_000);
    const stop = new AbortController();
    const lines: unknown[] = [];
    const log = {
        write: (event: string, fields: object) => void lines.push({ event, ...fields }),
        droppedLines: () => 0,
    };
    const watching = watchSuspensions(clock, log, stop.signal);
    await clock.advance(2_000);
    clock.shiftWallClock(7_700);
    await clock.advance(2_000);
    stop.abort();
    await watching;
    expect(lines).toEqual([{ event: "clocks_diverged", byMs: 7_700 }]);
});
