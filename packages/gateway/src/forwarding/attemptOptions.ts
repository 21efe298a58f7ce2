import type { RequestId } from "@ibislanding/core";
import type { HeaderCodec } from "../codec/headerCodec";
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
    /** Aborts the attempt and closes its connection. */
    readonly signal: AbortSignal;
}
