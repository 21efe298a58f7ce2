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

/** Delay before a refused request is repeated; reclaimable capacity is unavailable for longer than this. */
const REFUSAL_BACKOFF_MS = 2_500;

/** Delay before a request without an answer is sent again; it may have been carried out. */
const UNANSWERED_RETRY_MS = 500;

/** Time for which planning assumes a refusal; longer than the retry delay, so that the plan is stable meanwhile. */
const REFUSAL_RETENTION_MS = 6_000;

/**
 * Time for which a target must stay below the greater of the running and the last requested count: upstreams that are
 * stopped take seconds to replace.
 */
const SCALE_DOWN_DELAY_MS = 5_000;

/** A request whose upstreams have not registered is sent again after this time. */
const RESEND_AFTER_MS = 8_000;

const keyOf = ({ service, availabilityZone, isReclaimable }: ScaleRequest): string =>
    `${service}/${availabilityZone}/${isReclaimable}`;

/** Creates a scaler with no record of earlier requests. */
export const createScaler = ({ api, clock, onRequested, onFailure }: ScalerOptions): Scaler => {
    const sent = new Map<string, SentRequest>();
    const refusedAtMs = new Map<string, number>();
    const unansweredAtMs = new Map<string, number>();
    const scaleDownSinceMs = new Map<string, number>();
    const lastRunning = new Map<string, number>();

    const isRefused = (key: string, durationMs: number): boolean =>
        clock.monotonicMs() - (refusedAtMs.get(key) ?? -Infinity) < durationMs;

    /** Upstreams that run, or that have been ordered and may be starting; without them, they would be ordered elsewhere again. */
    const orderedCount = (key: string, running: number): number => {
        const lastSent = sent.get(key);
        const isStarting = lastSent !== undefined && clock.monotonicMs() - lastSent.sentAtMs < RESEND_AFTER_MS;
        return isStarting ? Math.max(running, lastSent.count) : running;
    };

    const toScaleRequests = (service: ServiceName, target: ZoneTarget): readonly ScaleRequest[] => [
        { service, availabilityZone: target.availabilityZone, isReclaimable: false, count: target.onDemand },
        { service, availabilityZone: target.availabilityZone, isReclaimable: true, count: target.reclaimable },
    ];

    const runningOf = (zones: readonly FleetZone[], request: ScaleRequest): number => {
        const zone = zones.find(({ availabilityZone }) => availabilityZone === request.availabilityZone);
        return (request.isReclaimable ? zone?.reclaimable : zone?.onDemand) ?? 0;
    };

    /** Returns whether the target has been smaller for the scale-down delay; true when it isn't smaller. */
    const mayScaleDown = (key: string, isScaleDown: boolean): boolean => {
        if (!isScaleDown) {
            scaleDownSinceMs.delete(key);
            return true;
        }
        const sinceMs = scaleDownSinceMs.get(key) ?? clock.monotonicMs();
        scaleDownSinceMs.set(key, sinceMs);
        return clock.monotonicMs() - sinceMs >= SCALE_DOWN_DELAY_MS;
    };

    /** Records the running count; discards a sent request if some of its upstreams were lost, so that it is resent. */
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
        const result = await api.scale(request, getFencingNumber);
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
            const zones = state.zones.map(zone => {
                const { availabilityZone } = zone;
                const key = keyOf({ service, availabilityZone, isReclaimable: true, count: 0 });
                return {
                    ...zone,
                    isReclaimableRefused: isRefused(key, REFUSAL_RETENTION_MS),
                    orderedReclaimable: orderedCount(key, zone.reclaimable),
                };
            });
            const planned: FleetState = { ...state, zones };
            const requests = planFleet(planned).flatMap(target => toScaleRequests(service, target));
            requests.forEach(request => recordRunning(keyOf(request), runningOf(zones, request)));
            const currentFencingNumber = fencingNumber();
            const needed = currentFencingNumber === undefined
                ? []
                : requests.filter(request => isNeeded(request, runningOf(zones, request), currentFencingNumber));
            // Requests for different zones and price classes are independent: one that hangs must not delay the others.
            await Promise.all(needed.map(request => send(request, fencingNumber, planned)));
        },
    };
};
