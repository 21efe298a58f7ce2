import type { Clock, ServiceName } from "@ibislanding/core";
import type { CapacityQueue } from "./capacityQueue";

/** Interval at which the first waiting request of a service looks for capacity while there is none. */
const POLL_INTERVAL_MS = 10;

interface Waiting {
    readonly dueAtMs: number;
    readonly signal: AbortSignal;
    /** Looks for capacity; returns whether the request no longer waits. */
    readonly tryLeave: () => boolean;
    readonly giveUp: () => void;
}

/**
 * Creates an empty queue.
 *
 * Handles brittle upstreams with few slots for each host: a host whose slots are in use for a moment would refuse requests,
 * and its slots would then be idle until the next one arrives. Requests wait at the host, as an upstream may let none wait.
 */
export const createCapacityQueue = (clock: Clock): CapacityQueue => {
    const queues = new Map<ServiceName, Waiting[]>();

    const poll = (service: ServiceName): void => {
        const nowMs = clock.monotonicMs();
        const all = queues.get(service) ?? [];
        const waiting = all.filter(({ dueAtMs, signal }) => nowMs < dueAtMs && !signal.aborted);
        all.filter(entry => !waiting.includes(entry)).forEach(({ giveUp }) => giveUp());
        // One in each turn of the event loop: the capacity is taken only when the request is sent, which is after this call.
        const hasLeft = waiting[0]?.tryLeave() === true;
        const remaining = hasLeft ? waiting.slice(1) : waiting;
        if (remaining.length === 0) {
            queues.delete(service);
            return;
        }
        queues.set(service, remaining);
        clock.setTimer(hasLeft ? 0 : POLL_INTERVAL_MS, () => poll(service));
    };

    return {
        hasWaiting: service => queues.has(service),
        wait: async (service, { maximumWaiting, durationMs, signal, findCapacity }) => {
            const queue = queues.get(service);
            if ((queue?.length ?? 0) >= maximumWaiting) {
                return undefined;
            }
            return new Promise(resolve => {
                const waiting: Waiting = {
                    dueAtMs: clock.monotonicMs() + durationMs,
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
                if (queue === undefined) {
                    queues.set(service, [waiting]);
                    clock.setTimer(POLL_INTERVAL_MS, () => poll(service));
                    return;
                }
                queue.push(waiting);
            });
        },
    };
};
