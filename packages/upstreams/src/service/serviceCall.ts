import type { RequestId } from "@ibislanding/core";

/** One call to a plain service. */
export interface ServiceCall {
    readonly requestId: RequestId;
    readonly method: string;
    /** Path and query string, relative to the base URL of the service. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    readonly timeoutMs: number;
    /** Whether to open a new connection for this call, so that it cannot race with the closing of an idle one. */
    readonly freshConnection: boolean;
}
