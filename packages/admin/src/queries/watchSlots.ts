/** Limits the number of concurrently open watches. */
export interface WatchSlots {
    /** Acquires a slot; returns undefined if none is free. */
    readonly acquire: () => { readonly release: () => void; } | undefined;
    readonly inUse: () => number;
}
