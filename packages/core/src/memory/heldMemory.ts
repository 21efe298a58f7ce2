import type { MemoryOffer } from "./memoryOffer";

/** Memory that the bodies of one request hold. */
export interface HeldMemory extends Disposable {
    /** Takes memory, or returns false if all requests together hold as much as they may. */
    readonly tryHold: (bytes: number) => boolean;
    readonly release: (bytes: number) => void;
    /** Offers to give up what is held, and to release it, if there is no progress for a while and others find no room. */
    readonly offer: (giveUp: () => void) => MemoryOffer;
}
