import type { ServerResponse } from "node:http";

/** Answers with a JSON body. */
export const answerJson = (response: ServerResponse, status: number, body: unknown): void => {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
};
