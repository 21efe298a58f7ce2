import { createReturnCalendar } from "./createReturnCalendar";
import type { OfferedRequest } from "./offeredRequest";
import type { ReturnCalendar } from "./returnCalendar";
import type { Returns } from "./returns";
import type { ReturnsOptions } from "./returnsOptions";

/** Steps of the calendar in a second. */
const STEPS_PER_S = 10;

/** Clients honour a return time of up to this part of the time that they have left. */
const MAXIMUM_REMAINING_SHARE = 1 / 3;

/** Creates a calendar for each service and urgency, in which this host has its share of the free capacity. */
export const createReturns = ({ clock, random, level, hostCount }: ReturnsOptions): Returns => {
    const calendars = new Map<string, ReturnCalendar>();

    const calendarOf = ({ service, urgency }: OfferedRequest): ReturnCalendar => {
        const key = `${service}\u0000${urgency}`;
        const calendar = calendars.get(key) ?? createReturnCalendar(random);
        calendars.set(key, calendar);
        return calendar;
    };

    const unitsPerStep = ({ service, urgency }: OfferedRequest): number | undefined => {
        const unitsPerS = level.freeUnitsPerS(service, urgency);
        return unitsPerS === undefined ? undefined : unitsPerS / hostCount() / STEPS_PER_S;
    };

    return {
        refuse: (request, requestId, remainingMs) => {
            const capacity = unitsPerStep(request);
            if (capacity === undefined) {
                return undefined;
            }
            const nowMs = clock.monotonicMs();
            const latestMs = nowMs + Math.max(0, remainingMs) * MAXIMUM_REMAINING_SHARE;
            const place = { requestId, units: request.units, unitsPerStep: capacity };
            return calendarOf(request).reserve(place, nowMs, latestMs) - nowMs;
        },
        claim: (request, requestId) => {
            const calendar = calendarOf(request);
            return calendar.hasPlaces() && calendar.claim(requestId(), clock.monotonicMs());
        },
        heldShare: request => {
            const calendar = calendarOf(request);
            const capacity = calendar.hasPlaces() ? unitsPerStep(request) : undefined;
            return capacity === undefined || capacity <= 0
                ? 0
                : Math.min(1, calendar.promised(clock.monotonicMs()) / capacity);
        },
    };
};
