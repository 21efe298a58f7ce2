import type { IncomingHttpHeaders } from "node:http";

/** Connection-specific headers, and headers that only the system may set. */
const OMITTED_HEADERS = new Set([
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
]);

/** Returns the headers of a message that may be forwarded, with repeated values joined by commas. */
export const forwardedHeaders = (
    headers: IncomingHttpHeaders | Readonly<Record<string, string>>,
): Record<string, string> =>
    Object.fromEntries(
        Object.entries(headers).flatMap(([name, value]) =>
            value === undefined || OMITTED_HEADERS.has(name)
                ? []
                : [[name, Array.isArray(value) ? value.join(", ") : value]]
        ),
    );
