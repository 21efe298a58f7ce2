import { createRandom } from "@ibislanding/core";
import { createReturnCalendar } from "../src";

const reserve = (
    calendar: ReturnType<typeof createReturnCalendar>,
    requestId: string,
    { units = 100, unitsPerStep = 100, nowMs = 0, latestMs = 3_000 } = {},
): number => calendar.reserve({ requestId, units, unitsPerStep }, nowMs, latestMs);

// Guards against requests that are refused at the same moment and return at the same moment.
test("requests that are refused together return one after the other, as capacity becomes free", () => {
    const calendar = createReturnCalendar(createRandom(1));
    const times = Array.from({ length: 20 }, (_, index) => reserve(calendar, `request-${index}`));
    const steps = times.map(time => Math.floor(time / 100));
    expect(steps).toEqual(Array.from({ length: 20 }, (_, index) => 3 + index));
});

test("a large request takes the room of several steps, and is not later than a small one", () => {
    const calendar = createReturnCalendar(createRandom(1));
    expect(Math.floor(reserve(calendar, "large", { units: 450 }) / 100)).toBe(3);
    expect(Math.floor(reserve(calendar, "small", { units: 50 }) / 100)).toBe(7);
    expect(Math.floor(reserve(calendar, "next", { units: 50 }) / 100)).toBe(8);
});

test.each([[0], [100]])("without room until the latest time, times are spread before it (%i units)", unitsPerStep => {
    const calendar = createReturnCalendar(createRandom(1));
    const times = Array.from(
        { length: 100 },
        (_, index) => reserve(calendar, `request-${index}`, { unitsPerStep, nowMs: 1_000, latestMs: 2_000 }),
    );
    expect(Math.max(...times)).toBeLessThanOrEqual(2_000);
    expect(Math.min(...times)).toBeGreaterThanOrEqual(1_200);
    expect(new Set(times.slice(-80).map(time => Math.floor(time / 100))).size).toBe(5);
});

// Guards against an advantage of clients that do not wait: they would take the places of those that do.
test("a place can be claimed once, from its time on and not long after", () => {
    const calendar = createReturnCalendar(createRandom(1));
    const atMs = reserve(calendar, "early");
    expect(calendar.claim("early", atMs - 1)).toBe(false);
    expect(calendar.claim("other", atMs)).toBe(false);
    expect(calendar.claim("early", atMs)).toBe(true);
    expect(calendar.claim("early", atMs)).toBe(false);
    const late = reserve(calendar, "late", { nowMs: 1_000 });
    expect(calendar.claim("late", late + 600)).toBe(false);
    expect(calendar.hasPlaces()).toBe(false);
});

test("a request that is refused again keeps one place", () => {
    const calendar = createReturnCalendar(createRandom(1));
    reserve(calendar, "a");
    reserve(calendar, "a");
    expect(Math.floor(reserve(calendar, "b") / 100)).toBe(4);
});

// Guards against capacity that stays unused, as clients return to other hosts than the one that promised it.
test.each([[true, 95, 100], [false, 0, 5]])(
    "capacity is held as far as places are claimed here (%s)",
    (isClaimed, least, most) => {
        const calendar = createReturnCalendar(createRandom(1));
        for (let nowMs = 0; nowMs < 200_000; nowMs += 1_000) {
            const atMs = reserve(calendar, `request-${nowMs}`, { nowMs, latestMs: nowMs + 900 });
            if (isClaimed) {
                calendar.claim(`request-${nowMs}`, atMs);
            }
        }
        const atMs = reserve(calendar, "last", { nowMs: 200_000, latestMs: 201_000 });
        expect(calendar.promised(atMs)).toBeGreaterThanOrEqual(least);
        expect(calendar.promised(atMs)).toBeLessThanOrEqual(most);
    },
);

test("the number of places is bounded", () => {
    const calendar = createReturnCalendar(createRandom(1));
    Array.from({ length: 3_000 }, (_, index) => reserve(calendar, `r-${index}`, { units: 1, latestMs: 60_000 }));
    const claimed = Array.from({ length: 3_000 }, (_, index) => calendar.claim(`r-${index}`, 3_400)).filter(Boolean);
    expect(claimed.length).toBeLessThanOrEqual(2_000);
});
