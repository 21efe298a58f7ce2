import type { Clock } from "@ibislanding/core";
import type { UsageWindow } from "./usageWindow";

/** Number of buckets in a window; the oldest bucket expires as a whole. */
const BUCKET_COUNT = 32;

/**
 * Minimum time over which the units left in a window are spread. Over less, the estimation error of the sum would change
 * the rate by more than the rate itself.
 */
const MINIMUM_SPREAD_MS = 1_000;

/** Creates a window without usage. */
export const createUsageWindow = (clock: Clock, windowMs: number): UsageWindow => {
    const bucketMs = windowMs / BUCKET_COUNT;
    let buckets: { readonly index: number; units: number; }[] = [];

    const currentIndex = (): number => Math.floor(clock.monotonicMs() / bucketMs);

    const removeExpired = (): void => {
        const oldest = currentIndex() - BUCKET_COUNT;
        if ((buckets[0]?.index ?? oldest) < oldest) {
            buckets = buckets.filter(({ index }) => index >= oldest);
        }
    };

    const sum = (): number => {
        removeExpired();
        return buckets.reduce((total, { units }) => total + units, 0);
    };

    return {
        add: (units, ageMs = 0) => {
            removeExpired();
            const index = Math.floor((clock.monotonicMs() - ageMs) / bucketMs);
            if (index < currentIndex() - BUCKET_COUNT) {
                return;
            }
            const preceding = buckets.findLastIndex(bucket => bucket.index <= index);
            const known = buckets[preceding];
            if (known?.index === index) {
                known.units += units;
                return;
            }
            buckets.splice(preceding + 1, 0, { index, units });
        },
        sum,
        fallsInMs: limitUnits => {
            let kept = sum();
            if (kept <= limitUnits) {
                return 0;
            }
            const last = buckets.find(({ units }) => (kept -= units) <= limitUnits);
            return last === undefined ? windowMs : (last.index + BUCKET_COUNT + 1) * bucketMs - clock.monotonicMs();
        },
        sustainablePerMs: limitUnits => {
            const nowMs = clock.monotonicMs();
            let kept = sum();
            return Math.max(
                0,
                buckets.reduce((least, { index, units }) => {
                    const expiresInMs = (index + BUCKET_COUNT + 1) * bucketMs - nowMs;
                    const perMs = (limitUnits - kept) / Math.max(MINIMUM_SPREAD_MS, expiresInMs);
                    kept -= units;
                    return Math.min(least, perMs);
                }, limitUnits / windowMs),
            );
        },
    };
};
