/** Bounds the number of watches that are open at the same time. */
export interface WatchSlots {
    /** Takes a slot; undefined when none is free. */
    readonly take: () => { readonly release: () => void; } | undefined;
    readonly inUse: () => number;
}
