import type { ChatMessage } from "../engine/chatMessage";

/** Renders a chat to the text whose prefix engines cache. */
export const renderPrompt = (messages: readonly ChatMessage[]): string =>
    messages.map(({ role, content }) => `${role}\n${content}\n`).join("");
