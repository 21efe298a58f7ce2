import { createHash } from "node:crypto";

/** Returns the first hexadecimal digits of the SHA-256 hash. */
export const hashToHex = (data: string | Buffer, digits: number): string =>
    createHash("sha256").update(data).digest("hex").slice(0, digits);
