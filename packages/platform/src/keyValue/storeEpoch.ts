/**
 * Epoch of the key-value service. It rises when the service was restored from a copy: the latest writes are lost then,
 * and revisions are assigned again. Revisions are comparable within one epoch only.
 */
export interface StoreEpoch {
    /** Highest known epoch; 0 also while none is known. */
    readonly current: () => number;
    /** Records an epoch that the service or a peer stated; a lower one than the current has no effect. */
    readonly observe: (epoch: number) => void;
    /**
     * Runs the callback after each rise, except for the first epoch that becomes known. Returns a function that cancels
     * it.
     */
    readonly onRise: (callback: (epoch: number) => void) => () => void;
}
