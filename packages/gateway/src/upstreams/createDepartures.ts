import type { UpstreamId } from "@ibislanding/core";
import type { Departures } from "./departures";

/** Creates departures for which nobody waits. */
export const createDepartures = (): Departures => {
    const waiting = new Map<UpstreamId, Set<() => void>>();
    return {
        whenGoing: (upstreamId, callback) => {
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
        notify: isGoing =>
            [...waiting].filter(([upstreamId]) => isGoing(upstreamId)).forEach(([upstreamId, callbacks]) => {
                waiting.delete(upstreamId);
                callbacks.forEach(callback => callback());
            }),
    };
};
