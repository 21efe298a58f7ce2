import type { RequestId } from "@ibislanding/core";
import type { PromptPart } from "./promptPart";

/** Fields that the gateway reads from the head of a client's request. */
export interface RequestHead {
    readonly requestId: RequestId | undefined;
    readonly host: string;
    readonly path: string;
    readonly method: string;
    readonly apiKey: string | undefined;
    /** Time for which the client waits for the response. */
    readonly deadlineMs: number | undefined;
    /** Number of prompt tokens and maximum number of output tokens; undefined for plain requests. */
    readonly tokens: { readonly prompt: number; readonly output: number; } | undefined;
    readonly promptParts: readonly PromptPart[];
    /** Id of the last event that the client has of a stream that it takes up. */
    readonly lastEventId: string | undefined;
    /** The client's attempt that brought the first event of a stream that it takes up. */
    readonly resumedRequestId: RequestId | undefined;
}
