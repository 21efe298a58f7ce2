import type { RequestId, UpstreamId } from "@ibislanding/core";

/** Position in a token stream from which it can be resumed. */
export interface StreamPosition {
    readonly requestId: RequestId;
    /** Upstream that generated the last token. */
    readonly upstreamId: UpstreamId;
    /** Number of tokens delivered. */
    readonly tokens: number;
    /** Digest of the tokens delivered, as computed by the token journal. */
    readonly digest: string;
}
