/** Bytes that arrive in parts. */
export interface ByteCollector {
    readonly add: (part: Buffer) => void;
    readonly sizeBytes: () => number;
    /** Memory that the bytes occupy: up to twice their size, or what the only part is a view of. */
    readonly heldBytes: () => number;
    /** Returns the bytes and leaves the collector empty. */
    readonly take: () => Buffer;
}
