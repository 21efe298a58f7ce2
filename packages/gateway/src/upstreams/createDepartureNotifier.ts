import type { UpstreamId } from "@ibislanding/core";
import type { DepartureNotifier } from "./departureNotifier";

/** Creates a notifier without any subscriptions. */
export const createDepartureNotifier = (): DepartureNotifier => {
    const waiting = new Map<UpstreamId, Set<() => void>>();
    return {
        onDeparture: (upstreamId, callback) => {
            const callbacks = waiting.get(upstreamId) ?? new Set();
            callbacks.add(callback);
            waiting.set(upstreamId, callbacks);
            return () => {
                callbacks.delete(callback);
                if (callbacks.size === 0 && waiting.get(upstreamId) === callbacks) {
                    waiting.delete(upstreamId);
                }
            };
        },
        notifyDepartures: isDeparting =>
            [...waiting].filter(([upstreamId]) => isDeparting(upstreamId)).forEach(
                ([upstreamId, callbacks]) => {
                    waiting.delete(upstreamId);
                    callbacks.forEach(callback => callback());
                },
            ),
    };
};
