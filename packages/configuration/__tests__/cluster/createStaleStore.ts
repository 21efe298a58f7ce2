import type { Clock, RandomSource } from "@ibislanding/core";
import type { FakeKeyValueStore, KeyValueEntry, KeyValueStore } from "@ibislanding/platform";
import { Ok } from "ts-results";

const POLL_MS = 50;

/** Wraps a store so that a share of the reads returns earlier entries, like those of a lagging replica. */
export const createStaleStore = (
    store: FakeKeyValueStore,
    clock: Clock,
    random: RandomSource,
    staleRate: () => number,
): KeyValueStore => {
    const seen: (KeyValueEntry | undefined)[] = [undefined];

    const get: KeyValueStore["get"] = async (key, options) => {
        const entry = await store.get(key, options);
        if (entry.err) {
            return entry;
        }
        if (entry.val?.version !== seen.at(-1)?.version) {
            seen.push(entry.val);
        }
        return random.nextFloat() < staleRate() ? Ok(seen[random.nextInt(seen.length)]) : entry;
    };

    return {
        ...store,
        get,
        waitForChange: async (key, knownVersion, waitMs, options) => {
            const untilMs = clock.monotonicMs() + waitMs;
            for (;;) {
                const entry = await get(key, options);
                const isChanged = entry.ok && (entry.val?.version ?? 0) !== knownVersion;
                if (entry.err || isChanged || clock.monotonicMs() >= untilMs || options.signal?.aborted === true) {
                    return entry;
                }
                await clock.sleep(POLL_MS, options.signal);
            }
        },
    };
};
