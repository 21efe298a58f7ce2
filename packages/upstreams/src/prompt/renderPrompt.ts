import type { ChatMessage } from "../engine/chatMessage";

/** Renders a chat as the prompt text whose prefixes engines cache. */
export const renderPrompt = (messages: readonly ChatMessage[]): string =>
    messages.map(({ role, content }) => `${role}\n${content}\n`).join("");
