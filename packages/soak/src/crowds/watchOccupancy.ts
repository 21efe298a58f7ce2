import { readOpenDescriptors } from "../processes/readOpenDescriptors";
import { readResidentBytes } from "../processes/readResidentBytes";
import { readUnreadBytes } from "../processes/readUnreadBytes";

const INTERVAL_MS = 50;

/** Largest values that were read so far. */
interface Occupancy extends Disposable {
    /** Resident memory, together with the bytes that were received and not yet read. */
    readonly memoryBytes: () => number;
    readonly descriptors: () => number;
}

/** Reads repeatedly what a process occupies. */
export const watchOccupancy = (processId: number): Occupancy => {
    let memoryBytes = 0;
    let openDescriptors = 0;
    const timer = setInterval(() => {
        const descriptors = readOpenDescriptors(processId);
        memoryBytes = Math.max(memoryBytes, readResidentBytes(processId) + readUnreadBytes(descriptors));
        openDescriptors = Math.max(openDescriptors, descriptors.length);
    }, INTERVAL_MS);
    return {
        memoryBytes: () => memoryBytes,
        descriptors: () => openDescriptors,
        [Symbol.dispose]: () => clearInterval(timer),
    };
};
