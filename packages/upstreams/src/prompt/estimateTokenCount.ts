const CHARACTERS_PER_TOKEN = 4;

/** Estimates the number of tokens of a text from its length in characters. */
export const estimateTokenCount = (text: string): number => Math.ceil(text.length / CHARACTERS_PER_TOKEN);
