import { createRandom } from "@ibislanding/core";
import type { CacheEvent } from "@ibislanding/upstreams";
import type { CacheEventLog } from "./cacheEventLog";
import type { EngineProfile } from "./engineProfile";

const MAXIMUM_EVENTS = 4_096;

interface LoggedEvent extends CacheEvent {
    readonly visibleAtMs: number;
    readonly lost: boolean;
}

/** Creates an empty log with the report delay and the event loss rate of a profile. */
export const createCacheEventLog = (profile: EngineProfile): CacheEventLog => {
    const random = createRandom(profile.seed);
    const events: LoggedEvent[] = [];
    let lastSequence = 0;
    return {
        publish: (type, blockHash) => {
            const visibleAtMs = performance.now() + profile.reportLagMs;
            const lost = random.nextFloat() < profile.cacheEventLoss;
            events.push({ sequence: ++lastSequence, type, blockHash, visibleAtMs, lost });
            events.splice(0, Math.max(0, events.length - MAXIMUM_EVENTS));
        },
        after: known => {
            const nowMs = performance.now();
            const visible = events.filter(({ sequence, visibleAtMs }) => sequence > known && visibleAtMs <= nowMs);
            return {
                events: visible.filter(({ lost }) => !lost)
                    .map(({ sequence, type, blockHash }) => ({ sequence, type, blockHash })),
                lastSequence: visible.at(-1)?.sequence ?? known,
            };
        },
    };
};
