import type { IncomingMessage } from "node:http";
import type { BodyDelimiter } from "./bodyDelimiter";

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** Returns what marks the end of the body of a response to a request with the given method. */
export const findBodyDelimiter = (
    { headers, statusCode }: Pick<IncomingMessage, "headers" | "statusCode">,
    method: string,
): BodyDelimiter => {
    if (method === "HEAD" || STATUSES_WITHOUT_BODY.has(statusCode ?? 0)) {
        return "none";
    }
    const codings = headers["transfer-encoding"];
    if (codings !== undefined) {
        // With any other last coding, the body ends with its connection.
        return codings.split(",").at(-1)?.trim().toLowerCase() === "chunked" ? "chunks" : "connection";
    }
    return headers["content-length"] === undefined ? "connection" : "length";
};
