import {
    type AvailabilityZone,
    createFakeClock,
    createRandom,
    type FencingNumber,
    type ServiceName,
} from "@ibislanding/core";
import { Ok } from "ts-results";
import { createScaler, createZoneForecast, type FleetState, planFleet, type ScaleRequest } from "../src";

const service = "engine" as ServiceName;
const ZONES = ["a", "b", "c", "d", "e", "f"].map(name => name as AvailabilityZone);
const STEP_MS = 300;
const BOOT_MS = 4_000;
const WAVE_MS = 20_000;
const AVERAGING_MS = 5_000;
const BUSY = 24;

/** Demand of a zone: waves that are out of phase, and in all of them growth that needs new engines. */
const demandAt = (zone: number, atMs: number): number =>
    BUSY / ZONES.length * (1 + Math.sin(2 * Math.PI * (atMs / WAVE_MS + zone / ZONES.length)) * 0.8)
    * (1 + atMs / 60_000);

/**
 * Plays a fleet that grows with the demand. `need` is the demand, relative to the mean of the zones, that zones of new engines have
 * when these have started; `average` is the size of the fleet.
 */
const play = async (followsDemand: boolean, ageMs: number, seed: number) => {
    const clock = createFakeClock();
    const running = new Map(ZONES.map(zone => [zone, { onDemand: 0, reclaimable: 6 }]));
    const starting: { readonly request: ScaleRequest; readonly atMs: number; }[] = [];
    const ordered: { readonly zone: number; readonly added: number; readonly atMs: number; }[] = [];
    const forecast = createZoneForecast(clock);
    const random = createRandom(seed);
    const noises = ZONES.map(() => 0);
    const averages = ZONES.map((_, zone) => demandAt(zone, 0));
    const history: { readonly atMs: number; readonly busy: readonly number[]; }[] = [];
    const countOf = ({ availabilityZone, isReclaimable }: ScaleRequest): number =>
        running.get(availabilityZone)?.[isReclaimable ? "reclaimable" : "onDemand"] ?? 0;
    const known = new Map<string, number>();
    const scaler = createScaler({
        clock,
        onFailure: () => undefined,
        onRequested: () => undefined,
        api: {
            reportUsage: async () => Ok(undefined),
            scale: async request => {
                const key = `${request.availabilityZone}/${request.isReclaimable}`;
                const added = request.count - Math.max(countOf(request), known.get(key) ?? 0);
                known.set(key, request.count);
                if (request.isReclaimable && added > 0 && clock.monotonicMs() > startedAtMs + 8_000) {
                    ordered.push({ zone: ZONES.indexOf(request.availabilityZone), added, atMs: clock.monotonicMs() });
                }
                starting.push({ request, atMs: clock.monotonicMs() + (added > 0 ? BOOT_MS : 0) });
                return Ok(undefined);
            },
        },
    });
    const startedAtMs = clock.monotonicMs();
    let most = 0;
    const totals: number[] = [];
    for (let elapsedMs = 0; elapsedMs < 40_000; elapsedMs += STEP_MS) {
        const nowMs = clock.monotonicMs();
        starting.filter(({ atMs }) => atMs <= nowMs).forEach(({ request }) => {
            const zone = running.get(request.availabilityZone);
            if (zone !== undefined) {
                zone[request.isReclaimable ? "reclaimable" : "onDemand"] = request.count;
            }
        });
        starting.splice(0, starting.length, ...starting.filter(({ atMs }) => atMs > nowMs));
        ZONES.forEach((_, zone) => {
            averages[zone] = (averages[zone] ?? 0)
                + (demandAt(zone, elapsedMs) - (averages[zone] ?? 0)) * (1 - Math.exp(-STEP_MS / AVERAGING_MS));
        });
        // Requests that arrive at random let the average vary by about 5 %.
        const decay = Math.exp(-STEP_MS / AVERAGING_MS);
        noises.forEach((noise, zone) => {
            const step = (random.nextFloat() + random.nextFloat() + random.nextFloat() - 1.5) * 2;
            noises[zone] = noise * decay + step * 0.05 * Math.sqrt(1 - decay * decay);
        });
        history.push({ atMs: nowMs, busy: averages.map((average, zone) => average * (1 + (noises[zone] ?? 0))) });
        const reported = history.findLast(({ atMs }) => atMs <= nowMs - ageMs)?.busy ?? averages;
        const expected = forecast.observe(
            service,
            new Map(ZONES.map((zone, index) => [zone, reported[index] ?? 0])),
            BOOT_MS,
        );
        const busy = reported.reduce((sum, value) => sum + value, 0);
        await scaler.step(service, {
            zones: ZONES.map((availabilityZone, index) => ({
                availabilityZone,
                price: 1 + index / 100,
                ...running.get(availabilityZone) ?? { onDemand: 0, reclaimable: 0 },
                demand: followsDemand ? expected.get(availabilityZone) : undefined,
            })),
            averageBusy: busy * 0.8,
            currentBusy: busy,
            peakBusy: busy,
            minimum: 1,
            maximum: 40,
        }, () => 1 as FencingNumber);
        await clock.advance(STEP_MS);
        const total = [...running.values()].reduce((sum, { onDemand, reclaimable }) => sum + onDemand + reclaimable, 0);
        most = Math.max(most, total);
        totals.push(total);
    }
    const engines = ordered.reduce((sum, { added }) => sum + added, 0);
    const need = ordered.reduce((sum, { zone, added, atMs }) => {
        const atStartMs = atMs - startedAtMs + BOOT_MS;
        const mean = ZONES.reduce((total, _, other) => total + demandAt(other, atStartMs), 0) / ZONES.length;
        return sum + added * demandAt(zone, atStartMs) / mean;
    }, 0);
    return {
        engines,
        need: need / engines,
        most,
        average: totals.reduce((sum, total) => sum + total, 0) / totals.length,
    };
};

// Guards against engines that are ordered in a zone whose wave of demand has left when they have started.
test.each([300, 1_000, 2_000])(
    "new engines start where demand is above the mean by then, with reports %d ms old",
    async ageMs => {
        const seeds = [1, 2, 3, 4];
        const evens = await Promise.all(seeds.map(seed => play(false, ageMs, seed)));
        const aheads = await Promise.all(seeds.map(seed => play(true, ageMs, seed)));
        const mean = (plays: readonly (typeof evens)[number][]) => ({
            engines: plays.reduce((sum, { engines }) => sum + engines, 0) / plays.length,
            need: plays.reduce((sum, { need }) => sum + need, 0) / plays.length,
            most: plays.reduce((sum, { most }) => sum + most, 0) / plays.length,
            average: plays.reduce((sum, { average }) => sum + average, 0) / plays.length,
        });
        const even = mean(evens);
        const ahead = mean(aheads);
        if (process.env["ZONE_WAVES"] !== undefined) {
            process.stdout.write(`age ${ageMs}: even ${JSON.stringify(even)}, ahead ${JSON.stringify(ahead)}\n`);
        }
        expect(ahead.need).toBeGreaterThan(even.need + 0.15);
        expect(ahead.engines).toBeGreaterThan(0);
        expect(ahead.average).toBeLessThanOrEqual(even.average * 1.02);
    },
);

const zoneOf = (
    name: string,
    price: number,
    currentBusy: number,
    expectedBusy: number,
): FleetState["zones"][number] => ({
    availabilityZone: name as AvailabilityZone,
    price,
    onDemand: 1,
    reclaimable: 2,
    isReclaimableRefused: false,
    demand: { currentBusy, expectedBusy },
});

const plan = (zones: FleetState["zones"]) =>
    planFleet({ zones, averageBusy: 3, currentBusy: 4, peakBusy: 4, minimum: 1, maximum: 20 });

test("a wave that is leaving a zone is no reason to order there", () => {
    const targets = plan([zoneOf("a", 0.5, 6, 3), zoneOf("b", 1, 1, 3), zoneOf("c", 1, 1, 1)]);
    expect(targets.map(({ reclaimable }) => reclaimable > 2)).toEqual([false, true, true]);
});

test("among zones with the same demand, the price decides", () => {
    const [expensive, cheap] = plan([zoneOf("a", 1.2, 2, 2), zoneOf("b", 0.8, 2, 2.1)]);
    expect(cheap?.reclaimable).toBeGreaterThanOrEqual(expensive?.reclaimable ?? Infinity);
});

test("demand is forecast only after it has been observed for four seconds, and stays within bounds", async () => {
    const clock = createFakeClock();
    const forecast = createZoneForecast(clock);
    const observe = async (busy: number) => {
        const demands = forecast.observe(service, new Map([["a" as AvailabilityZone, busy]]), BOOT_MS);
        await clock.advance(2_000);
        return demands.get("a" as AvailabilityZone);
    };
    expect(await observe(1)).toBeUndefined();
    expect(await observe(9)).toBeUndefined();
    expect(await observe(0)).toEqual({ currentBusy: 0, expectedBusy: 0 });
    const risen = await observe(9);
    expect(risen?.expectedBusy).toBe((risen?.currentBusy ?? 0) * 2 + 1);
});
