import { ErrorCode, type FencingNumber, type ServiceName } from "@ibislanding/core";
import type { FleetState } from "./fleetState";
import type { FleetZone } from "./fleetZone";
import { planFleet } from "./planFleet";
import type { ScaleOrder } from "./scaleOrder";
import type { Scaler } from "./scaler";
import type { ScalerOptions } from "./scalerOptions";
import type { ZoneTarget } from "./zoneTarget";

interface SentOrder {
    readonly count: number;
    readonly fencingNumber: FencingNumber;
    readonly sentAtMs: number;
}

/** Time for which a refused kind is not ordered again; reclaimable capacity is away for longer than this. */
const REFUSED_MS = 2_500;

/** An order without an answer may have been carried out, and is sent again after this time. */
const UNANSWERED_MS = 500;

/** A refusal is taken to hold for this time, past the next try, so that the plan does not change between tries. */
const REFUSAL_MEMORY_MS = 6_000;

/** A target below the running number must hold for this long: upstreams that are given up take seconds to return. */
const SHRINK_DELAY_MS = 5_000;

/** An order whose upstreams did not appear is repeated after this time. */
const REPEAT_MS = 8_000;

const keyOf = ({ service, availabilityZone, isReclaimable }: ScaleOrder): string =>
    `${service}/${availabilityZone}/${isReclaimable}`;

/** Creates the scaler. */
export const createScaler = ({ api, clock, onOrdered, onFailure }: ScalerOptions): Scaler => {
    const sent = new Map<string, SentOrder>();
    const refusedAtMs = new Map<string, number>();
    const unansweredAtMs = new Map<string, number>();
    const shrinkSinceMs = new Map<string, number>();
    const seenRunning = new Map<string, number>();

    const isRefused = (key: string, durationMs: number): boolean =>
        clock.monotonicMs() - (refusedAtMs.get(key) ?? -Infinity) < durationMs;

    const toOrders = (service: ServiceName, target: ZoneTarget): readonly ScaleOrder[] => [
        { service, availabilityZone: target.availabilityZone, isReclaimable: false, count: target.onDemand },
        { service, availabilityZone: target.availabilityZone, isReclaimable: true, count: target.reclaimable },
    ];

    const runningOf = (zones: readonly FleetZone[], order: ScaleOrder): number => {
        const zone = zones.find(({ availabilityZone }) => availabilityZone === order.availabilityZone);
        return (order.isReclaimable ? zone?.reclaimable : zone?.onDemand) ?? 0;
    };

    /** Whether a smaller target has held for long enough. */
    const mayShrink = (key: string, shrinks: boolean): boolean => {
        if (!shrinks) {
            shrinkSinceMs.delete(key);
            return true;
        }
        const sinceMs = shrinkSinceMs.get(key) ?? clock.monotonicMs();
        shrinkSinceMs.set(key, sinceMs);
        return clock.monotonicMs() - sinceMs >= SHRINK_DELAY_MS;
    };

    /** Forgets an order of whose upstreams some are lost, so that it is sent again. */
    const noteRunning = (key: string, running: number): void => {
        const isLoss = running < (seenRunning.get(key) ?? 0) && running < (sent.get(key)?.count ?? 0);
        seenRunning.set(key, running);
        if (isLoss) {
            sent.delete(key);
        }
    };

    const isNeeded = (order: ScaleOrder, running: number, fencingNumber: FencingNumber): boolean => {
        const key = keyOf(order);
        const last = sent.get(key);
        if (last === undefined && order.count === running) {
            return false;
        }
        const isRepeated = last !== undefined && last.count === order.count && last.fencingNumber === fencingNumber
            && (running === order.count || clock.monotonicMs() - last.sentAtMs < REPEAT_MS);
        return !isRepeated && !isRefused(key, REFUSED_MS)
            && clock.monotonicMs() - (unansweredAtMs.get(key) ?? -Infinity) >= UNANSWERED_MS
            && mayShrink(key, order.count < Math.max(running, last?.count ?? 0));
    };

    const send = async (
        order: ScaleOrder,
        getFencingNumber: () => FencingNumber | undefined,
        state: FleetState,
    ): Promise<void> => {
        const fencingNumber = getFencingNumber();
        if (fencingNumber === undefined) {
            return;
        }
        const key = keyOf(order);
        const result = await api.scale(order, fencingNumber);
        if (result.ok) {
            refusedAtMs.delete(key);
            sent.set(key, { count: order.count, fencingNumber, sentAtMs: clock.monotonicMs() });
            onOrdered(order, state);
            return;
        }
        onFailure(order, result.val);
        if (result.val.code === ErrorCode.PlatformRefused) {
            refusedAtMs.set(key, clock.monotonicMs());
        }
        else {
            unansweredAtMs.set(key, clock.monotonicMs());
        }
    };

    return {
        step: async (service, state, fencingNumber) => {
            const zones = state.zones.map(zone => ({
                ...zone,
                isReclaimableRefused: isRefused(
                    keyOf({ service, availabilityZone: zone.availabilityZone, isReclaimable: true, count: 0 }),
                    REFUSAL_MEMORY_MS,
                ),
            }));
            const planned: FleetState = { ...state, zones };
            const orders = planFleet(planned).flatMap(target => toOrders(service, target));
            orders.forEach(order => noteRunning(keyOf(order), runningOf(zones, order)));
            const fence = fencingNumber();
            const needed = fence === undefined
                ? []
                : orders.filter(order => isNeeded(order, runningOf(zones, order), fence));
            // Orders for different zones and classes are independent: one that hangs must not hold back the others.
            await Promise.all(needed.map(order => send(order, fencingNumber, planned)));
        },
    };
};
