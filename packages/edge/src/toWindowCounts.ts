import type { AccountId } from "@ibislanding/core";
import type { WindowCounts } from "@ibislanding/duties";
import type { HostReport } from "./hostReport";

/** Groups the request counts of a report by window and account. */
export const toWindowCounts = (began: HostReport["began"]): WindowCounts => {
    const windows = new Map<number, Map<AccountId, number>>();
    began.forEach(([window, accountId, count]) => {
        const counts = windows.get(window) ?? new Map<AccountId, number>();
        counts.set(accountId as AccountId, count);
        windows.set(window, counts);
    });
    return windows;
};
