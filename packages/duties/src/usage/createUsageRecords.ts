import type { AccountId } from "@ibislanding/core";
import type { UsageRecords } from "./usageRecords";

/** Past windows whose records are kept: at least those that a new lease holder checks. */
const RETAINED_WINDOWS = 8;

/**
 * Creates records without any window.
 *
 * Handles a store that was restored from a copy and has lost the latest records: a window that may have been reported
 * must not be reported again with other counts.
 */
export const createUsageRecords = (): UsageRecords => {
    const records = new Map<number, { readonly counts: ReadonlyMap<AccountId, number>; readonly isOwn: boolean; }>();
    return {
        remember: (window, counts, isOwn) => {
            const latest = Math.max(window, ...records.keys());
            if (!records.has(window)) {
                records.set(window, { counts, isOwn });
            }
            [...records.keys()].filter(known => known <= latest - RETAINED_WINDOWS).forEach(old => records.delete(old));
        },
        countsOf: window => records.get(window)?.counts,
        own: () =>
            new Map([...records].filter(([, { isOwn }]) => isOwn).map(([window, { counts }]) => [window, counts])),
    };
};
