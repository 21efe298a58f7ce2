import { ErrorCode, type FencingNumber, type ServiceName } from "@ibislanding/core";
import type { FleetState } from "./fleetState";
import type { FleetZone } from "./fleetZone";
import { planFleet } from "./planFleet";
import type { Scaler } from "./scaler";
import type { ScaleRequest } from "./scaleRequest";
import type { ScalerOptions } from "./scalerOptions";
import type { ZoneTarget } from "./zoneTarget";

interface SentRequest {
    readonly count: number;
    readonly fencingNumber: FencingNumber;
    readonly sentAtMs: number;
}

/** Time for which a refused kind is not ordered again; reclaimable capacity is away for longer than this. */
const REFUSAL_BACKOFF_MS = 2_500;

/** An order without an answer may have been carried out, and is sent again after this time. */
const UNANSWERED_RETRY_MS = 500;

/** A refusal is taken to hold for this time, past the next try, so that the plan does not change between tries. */
const REFUSAL_RETENTION_MS = 6_000;

/** A target below the running number must hold for this long: upstreams that are given up take seconds to return. */
const SCALE_DOWN_DELAY_MS = 5_000;

/** An order whose upstreams did not appear is repeated after this time. */
const RESEND_AFTER_MS = 8_000;

const keyOf = ({ service, availabilityZone, isReclaimable }: ScaleRequest): string =>
    `${service}/${availabilityZone}/${isReclaimable}`;

/** Creates the scaler. */
export const createScaler = ({ api, clock, onRequested, onFailure }: ScalerOptions): Scaler => {
    const sent = new Map<string, SentRequest>();
    const refusedAtMs = new Map<string, number>();
    const unansweredAtMs = new Map<string, number>();
    const scaleDownSinceMs = new Map<string, number>();
    const lastRunning = new Map<string, number>();

    const isRefused = (key: string, durationMs: number): boolean =>
        clock.monotonicMs() - (refusedAtMs.get(key) ?? -Infinity) < durationMs;

    const toScaleRequests = (service: ServiceName, target: ZoneTarget): readonly ScaleRequest[] => [
        { service, availabilityZone: target.availabilityZone, isReclaimable: false, count: target.onDemand },
        { service, availabilityZone: target.availabilityZone, isReclaimable: true, count: target.reclaimable },
    ];

    const runningOf = (zones: readonly FleetZone[], request: ScaleRequest): number => {
        const zone = zones.find(({ availabilityZone }) => availabilityZone === request.availabilityZone);
        return (request.isReclaimable ? zone?.reclaimable : zone?.onDemand) ?? 0;
    };

    /** Whether a smaller target has held for long enough. */
    const mayScaleDown = (key: string, isScaleDown: boolean): boolean => {
        if (!isScaleDown) {
            scaleDownSinceMs.delete(key);
            return true;
        }
        const sinceMs = scaleDownSinceMs.get(key) ?? clock.monotonicMs();
        scaleDownSinceMs.set(key, sinceMs);
        return clock.monotonicMs() - sinceMs >= SCALE_DOWN_DELAY_MS;
    };

    /** Forgets an order of whose upstreams some are lost, so that it is sent again. */
    const recordRunning = (key: string, running: number): void => {
        const hasLostUpstreams = running < (lastRunning.get(key) ?? 0) && running < (sent.get(key)?.count ?? 0);
        lastRunning.set(key, running);
        if (hasLostUpstreams) {
            sent.delete(key);
        }
    };

    const isNeeded = (request: ScaleRequest, running: number, fencingNumber: FencingNumber): boolean => {
        const key = keyOf(request);
        const lastSent = sent.get(key);
        if (lastSent === undefined && request.count === running) {
            return false;
        }
        const isAlreadySent = lastSent !== undefined && lastSent.count === request.count
            && lastSent.fencingNumber === fencingNumber
            && (running === request.count || clock.monotonicMs() - lastSent.sentAtMs < RESEND_AFTER_MS);
        return !isAlreadySent && !isRefused(key, REFUSAL_BACKOFF_MS)
            && clock.monotonicMs() - (unansweredAtMs.get(key) ?? -Infinity) >= UNANSWERED_RETRY_MS
            && mayScaleDown(key, request.count < Math.max(running, lastSent?.count ?? 0));
    };

    const send = async (
        request: ScaleRequest,
        getFencingNumber: () => FencingNumber | undefined,
        state: FleetState,
    ): Promise<void> => {
        const fencingNumber = getFencingNumber();
        if (fencingNumber === undefined) {
            return;
        }
        const key = keyOf(request);
        const result = await api.scale(request, fencingNumber);
        if (result.ok) {
            refusedAtMs.delete(key);
            sent.set(key, { count: request.count, fencingNumber, sentAtMs: clock.monotonicMs() });
            onRequested(request, state);
            return;
        }
        onFailure(request, result.val);
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
                    REFUSAL_RETENTION_MS,
                ),
            }));
            const planned: FleetState = { ...state, zones };
            const requests = planFleet(planned).flatMap(target => toScaleRequests(service, target));
            requests.forEach(request => recordRunning(keyOf(request), runningOf(zones, request)));
            const currentFencingNumber = fencingNumber();
            const needed = currentFencingNumber === undefined
                ? []
                : requests.filter(request => isNeeded(request, runningOf(zones, request), currentFencingNumber));
            // Orders for different zones and classes are independent: one that hangs must not hold back the others.
            await Promise.all(needed.map(request => send(request, fencingNumber, planned)));
        },
    };
};
