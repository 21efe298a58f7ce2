/** Bytes that arrive in parts. */
export interface ByteCollector {
    readonly add: (part: Buffer) => void;
    readonly sizeBytes: () => number;
    /** Memory that the bytes occupy: what parts are views of, and the blocks into which others were copied. */
    readonly heldBytes: () => number;
    /** Returns the bytes and leaves the collector empty. */
    readonly take: () => Buffer;
}
