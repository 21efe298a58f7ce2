/** Non-cryptographic string hashing. */
export interface Hasher {
    /** Returns the 32-bit hash of a string as an unsigned integer. */
    readonly hash32: (text: string, seed?: number) => number;
    /** Returns the 64-bit hash of a string as 16 hexadecimal digits. */
    readonly hash64Hex: (text: string, seed?: bigint) => string;
}
