/** Bytes a second that a process reads only to discard them, beyond what each connection may always send. */
const DISCARD_BYTES_PER_S = 4_194_304;

/** Unused allowance that accumulates: a whole body of the usual limit. */
const MAXIMUM_ALLOWANCE_BYTES = 8_388_608;

const MS_PER_S = 1_000;

/**
 * Creates the allowance of all connections of a process for bodies that were refused before they were read. A single client
 * sends its body to the end and reads the refusal; many at once are cut off.
 */
export const createDiscardAllowance = (nowMs: () => number): (bytes: number) => boolean => {
    let allowedBytes = MAXIMUM_ALLOWANCE_BYTES;
    let refilledAtMs = nowMs();
    return bytes => {
        const atMs = nowMs();
        const refillBytes = (atMs - refilledAtMs) / MS_PER_S * DISCARD_BYTES_PER_S;
        allowedBytes = Math.min(MAXIMUM_ALLOWANCE_BYTES, allowedBytes + refillBytes);
        refilledAtMs = atMs;
        if (bytes > allowedBytes) {
            return false;
        }
        allowedBytes -= bytes;
        return true;
    };
};
