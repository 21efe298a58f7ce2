import type { PromptPart } from "./promptPart";

/** Ids of the parts that a prompt may share with others; the last part belongs to the request or its session. */
export const sharedPartIds = (parts: readonly PromptPart[]): readonly string[] =>
    parts.slice(0, -1).map(({ partId }) => partId);
