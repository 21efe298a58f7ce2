import xxhash from "xxhash-wasm";
import type { Hasher } from "./hasher";

/** Loads the xxHash WebAssembly module and wraps it. */
export const createHasher = async (): Promise<Hasher> => {
    const module = await xxhash();
    return {
        hash32: (text, seed) => module.h32(text, seed),
        hash64Hex: (text, seed) => module.h64ToString(text, seed),
    };
};
