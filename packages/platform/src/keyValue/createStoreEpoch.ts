import type { StoreEpoch } from "./storeEpoch";

/** Creates an epoch of which nothing is known yet. */
export const createStoreEpoch = (): StoreEpoch => {
    const callbacks = new Set<(epoch: number) => void>();
    let current = 0;
    return {
        current: () => current,
        observe: epoch => {
            if (epoch <= current) {
                return;
            }
            const isFirst = current === 0;
            current = epoch;
            if (!isFirst) {
                [...callbacks].forEach(callback => callback(epoch));
            }
        },
        onRise: callback => {
            callbacks.add(callback);
            return () => void callbacks.delete(callback);
        },
    };
};
