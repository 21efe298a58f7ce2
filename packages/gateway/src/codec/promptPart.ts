/** A part of a prompt that other requests may share; parts are in order and each depends on those before it. */
export interface PromptPart {
    readonly partId: string;
    readonly tokens: number;
}
