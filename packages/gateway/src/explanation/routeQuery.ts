import type { PromptPart } from "../codec/promptPart";

/** A request of which an operator asks where it would be sent. */
export interface RouteQuery {
    readonly host: string;
    readonly path: string;
    /** Undefined for an anonymous request. */
    readonly apiKey: string | undefined;
    readonly promptTokens: number;
    readonly promptParts: readonly PromptPart[];
    /** Time for which the client waits; undefined if it states none. */
    readonly deadlineMs: number | undefined;
}
