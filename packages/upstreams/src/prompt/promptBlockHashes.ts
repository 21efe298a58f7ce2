import type { Hasher } from "@ibislanding/core";
import { BLOCK_TOKENS } from "./blockTokens";

/** Length of a block in characters, with the estimate of 4 characters per token. */
const BLOCK_CHARACTERS = BLOCK_TOKENS * 4;

/** Returns the hash chain of the full blocks of a prompt; each covers the model, its block and all preceding ones. */
export const promptBlockHashes = (model: string, prompt: string, hasher: Hasher): readonly string[] => {
    const count = Math.floor(prompt.length / BLOCK_CHARACTERS);
    return Array.from({ length: count }).reduce<string[]>((chain, _, index) => {
        const block = prompt.slice(index * BLOCK_CHARACTERS, (index + 1) * BLOCK_CHARACTERS);
        chain.push(hasher.hash64Hex(`${chain[index - 1] ?? model}${block}`));
        return chain;
    }, []);
};
