/** Part of a prompt that other requests may share. Parts are ordered, and each one depends on those before it. */
export interface PromptPart {
    readonly partId: string;
    readonly tokens: number;
}
