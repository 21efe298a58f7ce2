import type { MemoryBudget } from "./memoryBudget";

/** Time without progress after which memory is taken back for others. */
const STALLED_MS = 1_000;

interface Offer {
    readonly giveUp: () => void;
    progressAtMs: number;
}

/** Creates a budget of which nothing is held. */
export const createMemoryBudget = (
    maximumBytes: () => number,
    nowMs: () => number = () => performance.now(),
): MemoryBudget => {
    let totalBytes = 0;
    const offers = new Set<Offer>();

    const hasRoom = (bytes: number): boolean => totalBytes + bytes <= maximumBytes();

    /** Takes back what was offered and makes no progress, the longest without first, until the bytes find room. */
    const reclaim = (bytes: number): void => {
        const untilMs = nowMs() - STALLED_MS;
        [...offers].filter(({ progressAtMs }) => progressAtMs < untilMs)
            .toSorted((one, other) => one.progressAtMs - other.progressAtMs)
            .some(offer => {
                offers.delete(offer);
                offer.giveUp();
                return hasRoom(bytes);
            });
    };

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
                    if (!hasRoom(bytes)) {
                        reclaim(bytes);
                    }
                    if (!hasRoom(bytes)) {
                        return false;
                    }
                    ownBytes += bytes;
                    totalBytes += bytes;
                    return true;
                },
                release,
                offer: giveUp => {
                    const offer: Offer = { giveUp, progressAtMs: nowMs() };
                    offers.add(offer);
                    return {
                        recordProgress: () => {
                            offer.progressAtMs = nowMs();
                        },
                        withdraw: () => void offers.delete(offer),
                    };
                },
                [Symbol.dispose]: () => release(ownBytes),
            };
        },
        heldBytes: () => totalBytes,
    };
};
