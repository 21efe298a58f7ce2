/** An offer to give up memory for others. */
export interface MemoryOffer {
    readonly recordProgress: () => void;
    readonly withdraw: () => void;
}
