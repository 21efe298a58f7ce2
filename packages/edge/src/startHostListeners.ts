import { removeRelayHeaders } from "@ibislanding/relay";
import { type ConnectionCloseCause, type ConnectionLimits, guardConnections, listen } from "@ibislanding/runtime";
import { createServer, type RequestListener } from "node:http";
import type { EdgeSettings } from "./edgeSettings";
import type { HostListeners } from "./hostListeners";

/** Maximum size of a header block; the smaller limit of the configuration is applied afterwards. */
const MAXIMUM_HEADER_BYTES = 65_536;

const CONNECTION_CHECK_MS = 1_000;

/** Idle timeout of callers' connections until a configuration is known. */
const IDLE_TIMEOUT_MS = 15_000;

/** Opens the listeners for callers and readiness checks; the latter are answered with status 200 or 503. */
export const startHostListeners = async (
    addresses: EdgeSettings["listen"],
    handle: RequestListener,
    isReady: () => boolean,
    idleTimeoutMs: () => number | undefined,
    limits: { readonly callers: ConnectionLimits; readonly readiness: ConnectionLimits; },
    onConnectionClosed: (listener: string, cause: ConnectionCloseCause) => void,
): Promise<HostListeners> => {
    const callers = createServer({
        maxHeaderSize: MAXIMUM_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        headersTimeout: IDLE_TIMEOUT_MS,
        requestTimeout: 0,
        noDelay: true,
    });
    guardConnections(
        callers,
        (request, response) => {
            callers.keepAliveTimeout = idleTimeoutMs() ?? IDLE_TIMEOUT_MS;
            removeRelayHeaders(request);
            handle(request, response);
        },
        limits.callers,
        cause => onConnectionClosed("callers", cause),
    );
    const readiness = createServer();
    guardConnections(
        readiness,
        (_request, response) => {
            response.writeHead(isReady() ? 200 : 503);
            response.end();
        },
        limits.readiness,
        cause => onConnectionClosed("readiness", cause),
    );
    await listen(callers, addresses.callers);
    await listen(readiness, addresses.readiness);
    return {
        stopAcceptingCallers: () => {
            callers.close();
            callers.closeIdleConnections();
        },
        [Symbol.asyncDispose]: async () => {
            callers.close();
            readiness.close();
            callers.closeAllConnections();
            readiness.closeAllConnections();
        },
    };
};
