import type { FencingNumber } from "@ibislanding/core";

/** Reports ended windows while this host holds the duty. */
export interface UsageReporter {
    /** Reports the windows that are due; stops at the first call that fails. */
    readonly step: (fencingNumber: () => FencingNumber | undefined) => Promise<void>;
}
