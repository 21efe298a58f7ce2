import type { RequestId } from "@ibislanding/core";
import type { PromptPart } from "./promptPart";

/** What the gateway reads of a caller's request. */
export interface RequestHead {
    readonly requestId: RequestId | undefined;
    readonly host: string;
    readonly path: string;
    readonly method: string;
    readonly apiKey: string | undefined;
    /** Time for which the caller waits. */
    readonly deadlineMs: number | undefined;
    /** Tokens of the prompt and greatest number of output tokens; undefined for plain requests. */
    readonly tokens: { readonly prompt: number; readonly output: number; } | undefined;
    readonly promptParts: readonly PromptPart[];
}
