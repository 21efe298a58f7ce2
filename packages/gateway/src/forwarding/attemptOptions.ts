import type { RequestId } from "@ibislanding/core";
import type { HeaderCodec } from "../codec/headerCodec";
import type { ResponseHead } from "../codec/responseHead";
import type { RouteKind } from "../configuration/routeKind";
import type { UpstreamConnections } from "./upstreamConnections";

/** Inputs of one attempt to send a request to one upstream. */
export interface AttemptOptions {
    readonly connections: UpstreamConnections;
    readonly codec: HeaderCodec;
    readonly requestId: RequestId | undefined;
    readonly kind: RouteKind;
    readonly method: string;
    readonly path: string;
    readonly headers: readonly (readonly [string, string])[];
    readonly body: Buffer;
    /** Called with the head of each response of the addressed upstream, also if the response is not relayed. */
    readonly onHead: (head: ResponseHead) => void;
    /** Called with each part of the response that arrives, and first with its head. */
    readonly onProgress?: (() => void) | undefined;
    /** Called with whatever the handling of the response threw. */
    readonly onError: (error: unknown) => void;
    /** Aborts the attempt and closes its connection. */
    readonly signal: AbortSignal;
}
