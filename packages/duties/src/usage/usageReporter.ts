import type { FencingNumber } from "@ibislanding/core";

/** Reports ended windows while this host holds the duty. */
export interface UsageReporter {
    /** Stores and reports the windows that are due; what fails is tried again in the next step. */
    readonly step: (fencingNumber: () => FencingNumber | undefined) => Promise<void>;
}
