/** Number of tokens in one block of the engines' prefix caches. */
export const BLOCK_TOKENS = 64;
