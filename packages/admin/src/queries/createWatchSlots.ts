import type { WatchSlots } from "./watchSlots";

/** Creates the given number of free slots. */
export const createWatchSlots = (maximum: number): WatchSlots => {
    let inUse = 0;
    return {
        acquire: () => {
            if (inUse >= maximum) {
                return undefined;
            }
            inUse++;
            return {
                release: () => {
                    inUse--;
                },
            };
        },
        inUse: () => inUse,
    };
};
