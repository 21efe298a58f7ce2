import {
    type AvailabilityZone,
    createFailure,
    createFakeClock,
    ErrorCode,
    type FencingNumber,
    type ServiceName,
} from "@ibislanding/core";
import { Err, Ok } from "ts-results";
import { createScaler, type DutyApi, type FleetState, planFleet, type ScaleRequest } from "../src";

const zone = (name: string, price: number, fields: Partial<FleetState["zones"][number]> = {}) => ({
    availabilityZone: name as AvailabilityZone,
    price,
    onDemand: 2,
    reclaimable: 0,
    isReclaimableRefused: false,
    ...fields,
});

const state = (peakBusy: number, zones = [zone("a", 0.85), zone("b", 1.2), zone("c", 1)]): FleetState => ({
    zones,
    averageBusy: peakBusy / 2,
    currentBusy: peakBusy,
    peakBusy,
    minimum: 1,
    maximum: 6,
});

const totals = (fleet: ReturnType<typeof planFleet>) => ({
    onDemand: fleet.reduce((sum, { onDemand }) => sum + onDemand, 0),
    reclaimable: fleet.reduce((sum, { reclaimable }) => sum + reclaimable, 0),
});

test("on-demand upstreams carry the current load while reclaimable ones are refused", () => {
    const refused = ["a", "b", "c"].map(name => zone(name, 1, { isReclaimableRefused: true }));
    [0, 1, 2, 4, 8].forEach(peak => {
        expect(totals(planFleet(state(peak, refused))).onDemand).toBeGreaterThanOrEqual(peak);
    });
});

test("a large fleet needs a smaller fraction of spare upstreams than a small one", () => {
    const sizes = [2, 20, 80].map(peak => {
        const fleet = totals(planFleet({ ...state(peak), maximum: 100 }));
        return (fleet.onDemand + fleet.reclaimable) / peak;
    });
    expect(sizes).toEqual([...sizes].sort((left, right) => right - left));
    expect(sizes[2]).toBeLessThan(1.5);
});

test("every zone stays within its bounds", () => {
    [0, 3, 9, 50].forEach(busy =>
        planFleet(state(busy)).forEach(({ onDemand, reclaimable }) => {
            expect(onDemand + reclaimable).toBeGreaterThanOrEqual(1);
            expect(onDemand + reclaimable).toBeLessThanOrEqual(6);
        })
    );
});

test("reclaimable upstreams are spread so that the loss of one zone leaves most of them", () => {
    const fleet = planFleet(state(3));
    const { reclaimable } = totals(fleet);
    fleet.forEach(one => expect(one.reclaimable).toBeLessThanOrEqual(Math.ceil(reclaimable / 3)));
});

const createTestScaler = () => {
    const clock = createFakeClock();
    const requests: ScaleRequest[] = [];
    const refused = new Set<boolean>();
    const api: DutyApi = {
        reportUsage: async () => Ok(undefined),
        scale: async request => {
            requests.push(request);
            return refused.has(request.isReclaimable) ? Err(createFailure(ErrorCode.PlatformRefused)) : Ok(undefined);
        },
    };
    const scaler = createScaler({ api, clock, onRequested: () => undefined, onFailure: () => undefined });
    const step = (busy: number, zones?: FleetState["zones"]) =>
        scaler.step("engine" as ServiceName, state(busy, zones as never), () => 1 as FencingNumber);
    return { clock, requests, refused, step };
};

test("scale-up is requested immediately, and a request is not repeated while it is being carried out", async () => {
    const { requests, step } = createTestScaler();
    await step(3);
    const first = requests.length;
    expect(requests.some(({ isReclaimable, count }) => isReclaimable && count > 0)).toBe(true);
    await step(3);
    expect(requests).toHaveLength(first);
});

test("a refused request is retried after a delay", async () => {
    const { clock, requests, refused, step } = createTestScaler();
    refused.add(true);
    await step(3);
    const reclaimable = () => requests.filter(({ isReclaimable }) => isReclaimable).length;
    const first = reclaimable();
    await step(3);
    expect(reclaimable()).toBe(first);
    await clock.advance(3_000);
    await step(3);
    expect(reclaimable()).toBeGreaterThan(first);
});

test("on-demand upstreams requested in place of refused ones are not cancelled while they boot", async () => {
    const { clock, requests, refused, step } = createTestScaler();
    refused.add(true);
    const partialFleet = ["a", "b", "c"].map(name => zone(name, 1, { onDemand: 1 }));
    const onDemand = () => requests.filter(({ isReclaimable }) => !isReclaimable);
    for (const _ of Array.from({ length: 20 })) {
        await step(3, partialFleet);
        await clock.advance(300);
    }
    const counts = new Map(onDemand().map(({ availabilityZone, count }) => [availabilityZone, count]));
    expect(onDemand()).toHaveLength(counts.size);
    expect(Math.max(...counts.values())).toBeGreaterThan(1);
});

test("the fleet is scaled down only after the target has been smaller for a while", async () => {
    const { clock, requests, step } = createTestScaler();
    const large = [zone("a", 0.85, { onDemand: 6 }), zone("b", 1.2), zone("c", 1)];
    await step(1, large);
    expect(requests.some(({ availabilityZone, isReclaimable }) => availabilityZone === "a" && !isReclaimable)).toBe(
        false,
    );
    await clock.advance(9_000);
    await step(1, large);
    expect(requests.some(({ availabilityZone, isReclaimable }) => availabilityZone === "a" && !isReclaimable)).toBe(
        true,
    );
});

test("leaving upstreams are replaced at once, by on-demand ones if reclaimable ones are refused", async () => {
    const { clock, requests, refused, step } = createTestScaler();
    const fleet = (reclaimable: number) =>
        ["a", "b", "c"].map(name => zone(name, 1, { onDemand: name === "b" ? 0 : 1, reclaimable }));
    await step(1.5, fleet(0));
    await clock.advance(4_000);
    await step(1.5, fleet(1));
    refused.add(true);
    requests.length = 0;
    await clock.advance(1_000);
    await step(1.5, fleet(0));
    expect(requests.filter(({ isReclaimable }) => isReclaimable)).toHaveLength(3);
    await clock.advance(300);
    await step(1.5, fleet(0));
    expect(requests.some(({ isReclaimable }) => !isReclaimable)).toBe(true);
});

test("a request that hangs does not delay others and is retried soon after it fails", async () => {
    const clock = createFakeClock();
    const requests: ScaleRequest[] = [];
    const api: DutyApi = {
        reportUsage: async () => Ok(undefined),
        scale: async request => {
            requests.push(request);
            await clock.sleep(1_000);
            return Err(createFailure(ErrorCode.PlatformUnavailable));
        },
    };
    const scaler = createScaler({ api, clock, onRequested: () => undefined, onFailure: () => undefined });
    const step = () => scaler.step("engine" as ServiceName, state(3), () => 1 as FencingNumber);
    const first = step();
    await clock.advance(1_000);
    await first;
    const sentAtOnce = requests.length;
    expect(sentAtOnce).toBeGreaterThan(2);
    await clock.advance(600);
    const second = step();
    await clock.advance(1_000);
    await second;
    expect(requests).toHaveLength(sentAtOnce * 2);
});

// A wave of reclaims removes the reclaimable upstreams of one zone after the other; new ones are refused until it ends.
test.each([
    { peak: 1.5, zoneNames: ["a", "b", "c"], maximum: 6 },
    { peak: 3, zoneNames: ["a", "b", "c"], maximum: 6 },
    { peak: 8, zoneNames: ["a", "b", "c"], maximum: 6 },
    { peak: 24, zoneNames: ["a", "b", "c", "d", "e", "f"], maximum: 30 },
])("upstreams left by a wave of reclaims carry the average load, peak $peak", async ({ peak, zoneNames, maximum }) => {
    const STEP_MS = 300;
    const BOOT_MS = 4_000;
    const BETWEEN_RECLAIMS_MS = 6_000;
    const WAVE_MS = 30_000;
    const clock = createFakeClock();
    const averageBusy = peak * 2 / 3;
    const running = new Map<string, number>();
    const booting: { readonly key: string; readonly count: number; readonly readyAtMs: number; }[] = [];
    let isCapacityExhausted = false;
    const keyOf = (name: string, isReclaimable: boolean) => `${name} ${isReclaimable}`;
    const scaler = createScaler({
        clock,
        onRequested: () => undefined,
        onFailure: () => undefined,
        api: {
            reportUsage: async () => Ok(undefined),
            scale: async ({ availabilityZone, isReclaimable, count }) => {
                const key = keyOf(availabilityZone, isReclaimable);
                if (isReclaimable && isCapacityExhausted && count > (running.get(key) ?? 0)) {
                    return Err(createFailure(ErrorCode.PlatformRefused));
                }
                booting.push({ key, count, readyAtMs: clock.monotonicMs() + BOOT_MS });
                return Ok(undefined);
            },
        },
    });
    const countOf = (name: string, isReclaimable: boolean) => running.get(keyOf(name, isReclaimable)) ?? 0;
    const step = async () => {
        const due = booting.filter(({ readyAtMs }) => readyAtMs <= clock.monotonicMs());
        due.forEach(({ key, count }) => running.set(key, count));
        booting.splice(0, booting.length, ...booting.filter(one => !due.includes(one)));
        const zones = zoneNames.map(name =>
            zone(name, 1, { onDemand: countOf(name, false), reclaimable: countOf(name, true) })
        );
        const load = { averageBusy, currentBusy: averageBusy, peakBusy: peak };
        await scaler.step("engine" as ServiceName, { zones, ...load, minimum: 1, maximum }, () => 1 as FencingNumber);
        await clock.advance(STEP_MS);
        return [...running.values()].reduce((sum, count) => sum + count, 0);
    };
    for (let atMs = 0; atMs < 12_000; atMs += STEP_MS) {
        await step();
    }
    isCapacityExhausted = true;
    const counts = [];
    for (let atMs = 0; atMs < WAVE_MS; atMs += STEP_MS) {
        if (atMs % BETWEEN_RECLAIMS_MS === 0) {
            running.set(keyOf(zoneNames[atMs / BETWEEN_RECLAIMS_MS] ?? "", true), 0);
        }
        counts.push(await step());
    }
    expect(Math.min(...counts)).toBeGreaterThanOrEqual(averageBusy);
});
