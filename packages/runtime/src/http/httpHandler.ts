import type { IncomingMessage, ServerResponse } from "node:http";

/** Handles an HTTP request; on rejection the listener sends an `internal` problem or aborts a begun response. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;
