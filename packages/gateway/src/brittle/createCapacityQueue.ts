import { type AdmissionQueue, createAdmissionQueue, type WaitingRequest } from "@ibislanding/admission";
import type { Clock, ServiceName } from "@ibislanding/core";
import type { CapacityQueue } from "./capacityQueue";
import type { CapacityQueueOptions } from "./capacityQueueOptions";

/** Interval at which the first waiting request of a service looks for capacity while there is none. */
const POLL_INTERVAL_MS = 10;

interface Waiting extends WaitingRequest {
    readonly untilMs: number;
    readonly signal: AbortSignal;
    /** Looks for capacity; returns whether the request no longer waits. */
    readonly tryLeave: () => boolean;
    readonly giveUp: () => void;
}

interface ServiceQueue {
    readonly order: AdmissionQueue<Waiting>;
    readonly waiting: Set<Waiting>;
}

/**
 * Creates an empty queue; without options, requests leave in the order of their arrival.
 *
 * Handles brittle upstreams with few slots for each host: a host whose slots are in use for a moment would refuse requests,
 * and its slots would then be idle until the next one arrives. Requests wait at the host, as an upstream may let none wait.
 */
export const createCapacityQueue = (clock: Clock, options?: CapacityQueueOptions): CapacityQueue => {
    const queues = new Map<ServiceName, ServiceQueue>();
    let arrivals = 0;

    const createQueue = (service: ServiceName): ServiceQueue => ({
        order: createAdmissionQueue({
            clock,
            servedUnitsPerS: accountId => options?.servedUnitsPerS(service, accountId) ?? 0,
        }),
        waiting: new Set(),
    });

    const poll = (service: ServiceName, queue: ServiceQueue): void => {
        const nowMs = clock.monotonicMs();
        [...queue.waiting].filter(({ untilMs, signal }) => nowMs >= untilMs || signal.aborted).forEach(entry => {
            queue.waiting.delete(entry);
            queue.order.remove(entry);
            entry.giveUp();
        });
        // One in each turn of the event loop: the capacity is taken only when the request is sent, which is after this call.
        const first = queue.order.first();
        const hasLeft = first?.tryLeave() === true;
        if (first !== undefined && hasLeft) {
            queue.waiting.delete(first);
            queue.order.release(first);
        }
        if (queue.waiting.size === 0) {
            queues.delete(service);
            return;
        }
        clock.setTimer(hasLeft ? 0 : POLL_INTERVAL_MS, () => poll(service, queue));
    };

    return {
        hasWaiting: service => queues.has(service),
        wait: async (service, { maximumWaiting, durationMs, signal, findCapacity, request }) => {
            const known = queues.get(service);
            if ((known?.waiting.size ?? 0) >= maximumWaiting) {
                return undefined;
            }
            return new Promise(resolve => {
                const place = options?.isOrdered() === true && request !== undefined
                    ? request
                    : { service, urgency: 0, accountId: "" as const, units: 0, dueAtMs: arrivals++ };
                const waiting: Waiting = {
                    ...place,
                    untilMs: clock.monotonicMs() + durationMs,
                    signal,
                    tryLeave: () => {
                        const capacity = findCapacity();
                        if (capacity !== undefined) {
                            resolve(capacity);
                        }
                        return capacity !== undefined;
                    },
                    giveUp: () => resolve(undefined),
                };
                const queue = known ?? createQueue(service);
                queue.waiting.add(waiting);
                queue.order.add(waiting);
                if (known === undefined) {
                    queues.set(service, queue);
                    clock.setTimer(POLL_INTERVAL_MS, () => poll(service, queue));
                }
            });
        },
    };
};
