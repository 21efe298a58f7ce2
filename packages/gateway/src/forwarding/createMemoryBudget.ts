import type { MemoryBudget } from "./memoryBudget";

/** Creates a budget of which nothing is held. */
export const createMemoryBudget = (maximumBytes: number): MemoryBudget => {
    let totalBytes = 0;

    return {
        open: () => {
            let ownBytes = 0;
            const release = (bytes: number): void => {
                const released = Math.min(bytes, ownBytes);
                ownBytes -= released;
                totalBytes -= released;
            };
            return {
                tryHold: bytes => {
                    if (totalBytes + bytes > maximumBytes) {
                        return false;
                    }
                    ownBytes += bytes;
                    totalBytes += bytes;
                    return true;
                },
                release,
                [Symbol.dispose]: () => release(ownBytes),
            };
        },
        heldBytes: () => totalBytes,
    };
};
