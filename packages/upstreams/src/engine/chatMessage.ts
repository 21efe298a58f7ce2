/** One message of a chat. */
export interface ChatMessage {
    readonly role: "system" | "user" | "assistant" | "tool";
    readonly content: string;
}
