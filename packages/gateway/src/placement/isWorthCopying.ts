import type { RequestHead } from "../codec/requestHead";

/** Most prompt tokens for each output token of a stream that is moved only to end sooner. */
const MAXIMUM_PROMPT_RATIO = 4;

/**
 * Whether the copy of a run costs little compared with what is left to write. Copies of long prompts wait for each other on the
 * links of the engines for seconds, and the streams with them.
 */
export const isWorthCopying = ({ tokens, promptParts }: Pick<RequestHead, "tokens" | "promptParts">): boolean => {
    const promptTokens = tokens?.prompt ?? promptParts.reduce((sum, part) => sum + part.tokens, 0);
    return promptTokens <= (tokens?.output ?? Infinity) * MAXIMUM_PROMPT_RATIO;
};
