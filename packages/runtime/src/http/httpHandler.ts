import type { IncomingMessage, ServerResponse } from "node:http";

/** Handles one HTTP request; a rejection is answered as an internal error. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;
