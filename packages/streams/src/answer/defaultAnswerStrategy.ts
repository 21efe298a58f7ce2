import type { AnswerStrategy } from "./answerStrategy";

const EVACUATION_LEAD_MS = 2_000;

/** The strategy of the product. */
export const defaultAnswerStrategy: AnswerStrategy = {
    recovers: true,
    dropsDuplicates: true,
    evacuationLeadMs: EVACUATION_LEAD_MS,
};
