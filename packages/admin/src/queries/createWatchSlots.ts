import type { WatchSlots } from "./watchSlots";

/** Creates the given number of free slots. */
export const createWatchSlots = (maximum: number): WatchSlots => {
    let inUse = 0;
    return {
        take: () => {
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
