import type { ByteCollector } from "./byteCollector";

const MINIMUM_CAPACITY_BYTES = 1_024;

const EMPTY = Buffer.alloc(0);

/**
 * Creates an empty collector. Kept as they are, parts of a few bytes would occupy a hundred times their size; from the second one on
 * they are copied into one buffer, of the expected size as long as they fit.
 */
export const createByteCollector = (expectedBytes = 0): ByteCollector => {
    let held: Buffer = EMPTY;
    let sizeBytes = 0;

    return {
        add: part => {
            if (sizeBytes === 0) {
                held = part;
                sizeBytes = part.length;
                return;
            }
            const neededBytes = sizeBytes + part.length;
            if (neededBytes > held.length) {
                const grown = Buffer.allocUnsafeSlow(
                    neededBytes <= expectedBytes ? expectedBytes : Math.max(MINIMUM_CAPACITY_BYTES, 2 * neededBytes),
                );
                held.copy(grown, 0, 0, sizeBytes);
                held = grown;
            }
            part.copy(held, sizeBytes);
            sizeBytes = neededBytes;
        },
        sizeBytes: () => sizeBytes,
        heldBytes: () => sizeBytes === 0 ? 0 : held.buffer.byteLength,
        take: () => {
            const taken = held.subarray(0, sizeBytes);
            held = EMPTY;
            sizeBytes = 0;
            return taken;
        },
    };
};
