/** One message of a chat, with the roles that engines accept. */
export interface ChatMessage {
    readonly role: "system" | "user" | "assistant" | "tool";
    readonly content: string;
}
