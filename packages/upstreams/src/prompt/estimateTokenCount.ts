const CHARACTERS_PER_TOKEN = 4;

/** Estimates the tokens of a text from its length. */
export const estimateTokenCount = (text: string): number => Math.ceil(text.length / CHARACTERS_PER_TOKEN);
