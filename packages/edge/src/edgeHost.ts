import type { HttpHandler } from "@ibislanding/runtime";

/** A running host. */
export interface EdgeHost extends AsyncDisposable {
    /** Handles `/quarantine` and the paths below it, for operators. */
    readonly handleQuarantine: HttpHandler;
    /** Handles `/rollouts`, for operators. */
    readonly handleRollouts: HttpHandler;
    /** Handles `/explain/route`, for operators. */
    readonly handleExplain: HttpHandler;
    /**
     * Reports not ready, closes the listener after 3 s and waits for the requests in flight; resolves when all have
     * ended or 95 % of the grace period has passed.
     */
    readonly stop: () => Promise<void>;
}
