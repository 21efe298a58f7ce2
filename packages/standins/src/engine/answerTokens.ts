import type { Hasher } from "@ibislanding/core";
import { type ChatMessage, renderPrompt } from "@ibislanding/upstreams";

const WORDS =
    "soil lawn seed rain shade clay sand moss rake feed spring autumn root leaf plot hedge compost potash lime water"
        .split(" ");

const MINIMUM_ANSWER_TOKENS = 12;
const ANSWER_TOKENS_RANGE = 36;

/** Returns the answer of the simulated model as tokens; it depends only on the model's name and the messages. */
export const answerTokens = (model: string, messages: readonly ChatMessage[], hasher: Hasher): readonly string[] => {
    const prompt = `${model}\n${renderPrompt(messages)}`;
    const base = hasher.hash32(prompt);
    const length = MINIMUM_ANSWER_TOKENS + base % ANSWER_TOKENS_RANGE;
    return Array.from({ length }, (_, index) => {
        const word = WORDS[hasher.hash32(String(index), base) % WORDS.length] ?? "";
        return `${index === 0 ? "" : " "}${word}${index % 7 === 6 ? index : ""}`;
    });
};
