import type { IncomingMessage } from "node:http";
import { withoutRelayHeaders } from "./withoutRelayHeaders";

/**
 * Removes the headers that are for hosts only from a request. On the listener for callers they would reach upstreams, and a
 * mark would make a peer refuse the request as relayed twice.
 */
export const removeRelayHeaders = (request: IncomingMessage): void => {
    const kept = withoutRelayHeaders(request.rawHeaders);
    if (kept.length < request.rawHeaders.length) {
        request.rawHeaders = [...kept];
        const keptNames = new Set(kept.filter((_, index) => index % 2 === 0).map(name => name.toLowerCase()));
        request.headers = Object.fromEntries(Object.entries(request.headers).filter(([name]) => keptNames.has(name)));
    }
};
