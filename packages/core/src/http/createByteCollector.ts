import type { ByteCollector } from "./byteCollector";

const MINIMUM_BLOCK_BYTES = 1_024;
const BLOCK_BYTES = 65_536;

const EMPTY = Buffer.alloc(0);

/** Size from which on a part is kept without a copy, if it occupies at least half of its memory. */
const LARGE_PART_BYTES = 16_384;

const isKept = (part: Buffer): boolean => part.length >= LARGE_PART_BYTES && 2 * part.length >= part.buffer.byteLength;

/**
 * Creates an empty collector. Kept as they are, parts of a few bytes would occupy a hundred times their size; from the second one on
 * they are copied into one buffer of the expected size, or into blocks as long as more arrives than was expected.
 */
export const createByteCollector = (expectedBytes = 0): ByteCollector => {
    let blocks: Buffer[] = [];
    let heldBytes = 0;
    let sizeBytes = 0;
    /** Bytes in use of the last block; further parts are copied there while they fit. */
    let usedBytes = 0;

    const addBlock = (block: Buffer, ownBytes: number): void => {
        blocks.push(block);
        heldBytes += block.buffer.byteLength;
        usedBytes = ownBytes;
    };

    /** Closes the last block at what is in use of it. */
    const closeBlock = (): void => {
        const last = blocks.at(-1);
        if (last !== undefined) {
            blocks[blocks.length - 1] = last.subarray(0, usedBytes);
        }
    };

    /** Moves all bytes into a new block with room for more. */
    const regroup = (capacityBytes: number): void => {
        const grown = Buffer.allocUnsafeSlow(capacityBytes);
        closeBlock();
        blocks.reduce((offset, block) => offset + block.copy(grown, offset), 0);
        blocks = [];
        heldBytes = 0;
        addBlock(grown, sizeBytes);
    };

    /** Copies what fits into the last block, and the rest into a new one. */
    const copy = (part: Buffer): void => {
        const copiedBytes = part.copy(blocks.at(-1) ?? EMPTY, usedBytes);
        usedBytes += copiedBytes;
        if (copiedBytes < part.length) {
            const rest = part.subarray(copiedBytes);
            addBlock(Buffer.allocUnsafeSlow(Math.max(BLOCK_BYTES, rest.length)), rest.length);
            rest.copy(blocks.at(-1) ?? EMPTY);
        }
    };

    const append = (part: Buffer): void => {
        const last = blocks.at(-1);
        if (last === undefined) {
            addBlock(part, part.length);
            return;
        }
        const neededBytes = sizeBytes + part.length;
        const hasRoom = usedBytes + part.length <= last.length;
        if (!hasRoom && blocks.length === 1 && neededBytes <= expectedBytes) {
            regroup(expectedBytes);
        }
        else if (!hasRoom && isKept(part)) {
            closeBlock();
            addBlock(part, part.length);
            return;
        }
        else if (!hasRoom && 2 * neededBytes <= BLOCK_BYTES) {
            regroup(Math.max(MINIMUM_BLOCK_BYTES, 2 * neededBytes));
        }
        copy(part);
    };

    return {
        add: part => {
            append(part);
            sizeBytes += part.length;
        },
        sizeBytes: () => sizeBytes,
        heldBytes: () => sizeBytes === 0 ? 0 : heldBytes,
        take: () => {
            closeBlock();
            const [first] = blocks;
            const taken = blocks.length === 1 && first !== undefined ? first : Buffer.concat(blocks, sizeBytes);
            blocks = [];
            heldBytes = 0;
            sizeBytes = 0;
            usedBytes = 0;
            return taken;
        },
    };
};
