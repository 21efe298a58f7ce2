/** A running host. */
export interface EdgeHost extends AsyncDisposable {
    /** Closes the listener and drains requests; resolves when all have ended or the grace period is nearly over. */
    readonly stop: () => Promise<void>;
}
