import type { FencingNumber } from "@ibislanding/core";

/** Reports completed windows while this host holds the duties' lease. */
export interface UsageReporter {
    /** Stores and reports the windows that are due; failures are retried in the next step. */
    readonly step: (fencingNumber: () => FencingNumber | undefined) => Promise<void>;
}
