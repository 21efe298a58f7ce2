import type { ServerResponse } from "node:http";

/** Sends a response with the given status and a JSON body, and ends it. */
export const answerJson = (response: ServerResponse, status: number, body: unknown): void => {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
};
