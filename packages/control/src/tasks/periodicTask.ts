/** Runs a piece of work again and again, one run at a time. */
export interface PeriodicTask extends AsyncDisposable {
    /** Runs the work soon instead of at the end of the interval. */
    readonly trigger: () => void;
}
