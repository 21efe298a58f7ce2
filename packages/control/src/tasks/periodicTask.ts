/** Runs a function at a fixed interval; runs do not overlap. */
export interface PeriodicTask extends AsyncDisposable {
    /** Starts the next run without waiting for the end of the interval; has no effect while a run is queued. */
    readonly trigger: () => void;
}
