import type { AnswerStrategy } from "./answerStrategy";

const EVACUATION_LEAD_MS = 2_000;

/** Strategy used in production, with every part enabled. */
export const defaultAnswerStrategy: AnswerStrategy = {
    recovers: true,
    dropsDuplicates: true,
    evacuationLeadMs: EVACUATION_LEAD_MS,
};
