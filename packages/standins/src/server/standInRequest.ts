import type { IncomingMessage, ServerResponse } from "node:http";

/** A request to a stand-in, with its response and the body as text. */
export interface StandInRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly url: URL;
    /** Capture groups of the route's pattern, URI-decoded. */
    readonly groups: readonly string[];
    readonly body: string;
}
