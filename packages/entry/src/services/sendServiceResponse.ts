import type { ServiceResponse } from "@ibislanding/upstreams";
import type { ServerResponse } from "node:http";
import { forwardedHeaders } from "./forwardedHeaders";

/** Sends the response of a plain service to the caller, under the caller's request id. */
export const sendServiceResponse = (
    response: ServerResponse,
    serviceResponse: ServiceResponse,
    callerRequestId: string,
): void => {
    response.writeHead(serviceResponse.status, {
        ...forwardedHeaders(serviceResponse.headers),
        "content-length": serviceResponse.body.byteLength,
        "x-request-id": callerRequestId,
    });
    response.end(serviceResponse.body);
};
