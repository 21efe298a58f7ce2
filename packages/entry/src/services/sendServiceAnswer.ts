import type { ServiceAnswer } from "@ibislanding/upstreams";
import type { ServerResponse } from "node:http";
import { forwardedHeaders } from "./forwardedHeaders";

/** Sends the answer of a plain service to the caller. */
export const sendServiceAnswer = (response: ServerResponse, answer: ServiceAnswer, callerRequestId: string): void => {
    response.writeHead(answer.status, {
        ...forwardedHeaders(answer.headers),
        "content-length": answer.body.byteLength,
        "x-request-id": callerRequestId,
    });
    response.end(answer.body);
};
