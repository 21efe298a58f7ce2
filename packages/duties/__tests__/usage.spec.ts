import {
    type AccountId,
    createFailure,
    createFakeClock,
    ErrorCode,
    type FencingNumber,
    type HostId,
} from "@ibislanding/core";
import { createFakeKeyValueStore, createStoreEpoch } from "@ibislanding/platform";
import { Err, Ok } from "ts-results";
import { createUsageCounts, createUsageRecords, createUsageReporter, type DutyApi } from "../src";

const windowMs = 5_000;
const acme = "acme" as AccountId;
const fence = (number: number) => () => number as FencingNumber;

const createReporter = (
    clock: ReturnType<typeof createFakeClock>,
    store: ReturnType<typeof createFakeKeyValueStore>,
    storeEpoch = createStoreEpoch(),
    records = createUsageRecords(),
) => {
    const sent: { readonly window: number; readonly count: number | undefined; readonly fence: number; }[] = [];
    const state = { isDown: false, allPeersReported: true };
    const api: DutyApi = {
        reportUsage: async (window, counts, number) => {
            if (state.isDown) {
                return Err(createFailure(ErrorCode.PlatformUnavailable));
            }
            sent.push({ window, count: counts.get(acme), fence: number() ?? 0 });
            return Ok(undefined);
        },
        scale: async () => Ok(undefined),
    };
    const counts = createUsageCounts(windowMs, clock.wallMs);
    const omitted: number[] = [];
    const reporter = createUsageReporter({
        store,
        storeEpoch,
        records,
        keyPrefix: "usage/",
        api,
        counts,
        windowMs,
        dueMs: 10_000,
        nowMs: clock.wallMs,
        haveAllPeersReportedSince: () => state.allPeersReported,
        onReported: () => undefined,
        onOmitted: window => void omitted.push(window),
        onFailure: () => undefined,
    });
    return { sent, state, counts, records, reporter, omitted };
};

test("a window is reported once, with the counts of all hosts", async () => {
    const clock = createFakeClock(1_000_000);
    const { sent, counts, reporter } = createReporter(clock, createFakeKeyValueStore(clock));
    const window = counts.windowOf(clock.wallMs());
    counts.add(acme);
    counts.observePeer("peer.1" as HostId, new Map([[window, new Map([[acme, 4]])]]));
    counts.observePeer("peer.2" as HostId, new Map([[window, new Map([[acme, 2]])]]));
    await clock.advance(windowMs + 1_500);
    await reporter.step(fence(3));
    await reporter.step(fence(3));
    expect(sent.filter(report => report.window === window)).toEqual([{ window, count: 7, fence: 3 }]);
});

test("a successor sends the stored counts even if its own counts differ", async () => {
    const clock = createFakeClock(1_000_000);
    const store = createFakeKeyValueStore(clock);
    const first = createReporter(clock, store);
    const window = first.counts.windowOf(clock.wallMs());
    first.counts.add(acme);
    first.state.isDown = true;
    await clock.advance(windowMs + 1_500);
    await first.reporter.step(fence(3));
    const second = createReporter(clock, store);
    await second.reporter.step(fence(4));
    expect(second.sent.find(report => report.window === window)).toEqual({ window, count: 1, fence: 4 });
});

test("a report waits for peers that have not reported, but only for part of its due time", async () => {
    const clock = createFakeClock(1_000_000);
    const { sent, state, counts, reporter } = createReporter(clock, createFakeKeyValueStore(clock));
    const window = counts.windowOf(clock.wallMs());
    counts.add(acme);
    state.allPeersReported = false;
    await clock.advance(windowMs + 2_000);
    await reporter.step(fence(1));
    expect(sent.some(report => report.window === window)).toBe(false);
    await clock.advance(5_000);
    await reporter.step(fence(1));
    expect(sent.some(report => report.window === window)).toBe(true);
});

test("a host that lost the lease after storing the counts sends nothing", async () => {
    const clock = createFakeClock(1_000_000);
    const { sent, counts, reporter } = createReporter(clock, createFakeKeyValueStore(clock));
    counts.add(acme);
    await clock.advance(windowMs + 1_500);
    await reporter.step(() => undefined);
    expect(sent).toEqual([]);
});

test("after a restoration that lost the record, the same counts are sent again or none", async () => {
    const clock = createFakeClock(1_000_000);
    const store = createFakeKeyValueStore(clock);
    const epoch = createStoreEpoch();
    epoch.observe(1);
    const holder = createReporter(clock, store, epoch);
    const window = holder.counts.windowOf(clock.wallMs());
    const restore = store.takeCopy();
    holder.counts.add(acme);
    await clock.advance(windowMs + 1_500);
    await holder.reporter.step(fence(3));
    expect(holder.sent.find(report => report.window === window)?.count).toBe(1);

    const informed = createReporter(clock, store, epoch);
    informed.counts.add(acme);
    holder.records.own().forEach((counts, known) => informed.records.remember(known, counts, false));
    const uninformed = createReporter(clock, store, epoch);
    restore();
    epoch.observe(2);
    await uninformed.reporter.step(fence(8));
    expect(uninformed.sent.filter(report => report.window === window)).toEqual([]);
    expect(uninformed.omitted).toContain(window);
    await informed.reporter.step(fence(9));
    expect(informed.sent.find(report => report.window === window)).toEqual({ window, count: 1, fence: 9 });
});

test("a window that ends after a restoration is reported as usual", async () => {
    const clock = createFakeClock(1_000_000);
    const epoch = createStoreEpoch();
    epoch.observe(1);
    const { sent, counts, reporter, omitted } = createReporter(clock, createFakeKeyValueStore(clock), epoch);
    const window = counts.windowOf(clock.wallMs());
    counts.add(acme);
    epoch.observe(2);
    await clock.advance(windowMs + 1_500);
    await reporter.step(fence(1));
    expect(sent.find(report => report.window === window)?.count).toBe(1);
    expect(omitted).not.toContain(window);
});

test("usage counts of hosts that are gone are dropped, over a simulated day of replaced hosts", async () => {
    const clock = createFakeClock(1_000_000);
    const counts = createUsageCounts(windowMs, clock.wallMs);
    const records = createUsageRecords();
    for (const hour of Array.from({ length: 24 }).keys()) {
        const window = counts.windowOf(clock.wallMs());
        Array.from({ length: 50 }).forEach((_, host) =>
            counts.observePeer(`host-${hour}-${host}` as HostId, new Map([[window, new Map([[acme, 1]])]]))
        );
        records.remember(window, new Map([[acme, 50]]), true);
        expect(counts.total(window).get(acme)).toBe(50);
        await clock.advance(3_600_000);
    }
    counts.observePeer("last" as HostId, new Map());
    expect(counts.peerCount()).toBe(0);
    expect(records.own().size).toBeLessThanOrEqual(8);
});
