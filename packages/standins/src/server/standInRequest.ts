import type { IncomingMessage, ServerResponse } from "node:http";

/** One request to a stand-in. */
export interface StandInRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly url: URL;
    /** Groups of the route's pattern, decoded. */
    readonly groups: readonly string[];
    readonly body: string;
}
