/** Loop that follows the configuration key with one waiting call at a time. */
export interface StoreWatch {
    /** Runs until the signal aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
    readonly storeVersion: () => number;
    /** Whether the last call to the store succeeded. */
    readonly isReachable: () => boolean;
}
