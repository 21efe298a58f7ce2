import type { StoreEpoch } from "./storeEpoch";

/** Creates an epoch of which nothing is known yet. */
export const createStoreEpoch = (): StoreEpoch => {
    const callbacks = new Set<(epoch: number) => void>();
    let current = 0;
    let isKnown = false;
    return {
        current: () => current,
        observe: epoch => {
            const isRise = isKnown && epoch > current;
            isKnown = true;
            current = Math.max(current, epoch);
            if (isRise) {
                [...callbacks].forEach(callback => callback(epoch));
            }
        },
        onRise: callback => {
            callbacks.add(callback);
            return () => void callbacks.delete(callback);
        },
    };
};
