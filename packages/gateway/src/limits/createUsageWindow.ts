import type { Clock } from "@ibislanding/core";
import type { UsageWindow } from "./usageWindow";

/** Number of buckets in a window; the oldest bucket expires as a whole. */
const BUCKET_COUNT = 32;

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

    return {
        add: units => {
            removeExpired();
            const last = buckets.at(-1);
            if (last?.index === currentIndex()) {
                last.units += units;
                return;
            }
            buckets.push({ index: currentIndex(), units });
        },
        sum: () => {
            removeExpired();
            return buckets.reduce((sum, { units }) => sum + units, 0);
        },
    };
};
