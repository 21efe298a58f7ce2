/** Non-cryptographic 64-bit hashing. */
export interface Hasher {
    /** Returns the hash of a text as an unsigned 32-bit number. */
    readonly hash32: (text: string, seed?: number) => number;
    /** Returns the hash of a text as 16 hexadecimal digits. */
    readonly hash64Hex: (text: string, seed?: bigint) => string;
}
