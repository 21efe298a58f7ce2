import type { AccountId } from "@ibislanding/core";
import type { WindowCounts } from "./windowCounts";

/** Counts that a lease holder stored for windows, and which may have been sent to the platform. */
export interface UsageRecords {
    /** Keeps the counts of a window; the first ones stay. `isOwn` if this host stored them. */
    readonly remember: (window: number, counts: ReadonlyMap<AccountId, number>, isOwn: boolean) => void;
    readonly countsOf: (window: number) => ReadonlyMap<AccountId, number> | undefined;
    /** Records that this host stored, for the other hosts. */
    readonly own: () => WindowCounts;
}
