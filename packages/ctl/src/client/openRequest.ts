import { rejectInvalidHeads } from "@ibislanding/core";
import { type ClientRequest, request as plainRequest } from "node:http";
import { request as tlsRequest } from "node:https";
import type { HttpCall } from "./httpCall";

/** Opens a request on a new connection; the caller sends the body. */
export const openRequest = ({ method, url, headers, body, authorityPem }: HttpCall): ClientRequest => {
    const options = {
        method,
        agent: false as const,
        headers: {
            accept: "application/json",
            ...(body === undefined
                ? {}
                : { "content-type": "application/json", "content-length": String(Buffer.byteLength(body)) }),
            ...headers,
        },
    };
    const outgoing = url.startsWith("https:")
        ? tlsRequest(url, { ...options, ...(authorityPem === undefined ? {} : { ca: authorityPem }) })
        : plainRequest(url, options);
    rejectInvalidHeads(outgoing);
    return outgoing;
};
