/** Watches the configuration key with one long poll at a time. */
export interface StoreWatch {
    /** Runs until the signal aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
    readonly storeVersion: () => number;
    /** Whether the last call to the store succeeded. */
    readonly isReachable: () => boolean;
}
