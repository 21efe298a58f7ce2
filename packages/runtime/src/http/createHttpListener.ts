import { breakOffResponse, createFailure, ErrorCode } from "@ibislanding/core";
import { createServer as createPlainServer, type Server } from "node:http";
import { createServer as createTlsServer, type Server as TlsServer } from "node:https";
import type { AddressInfo } from "node:net";
import type { ListenerSettings } from "../settings/listenerSettings";
import { defaultConnectionLimits } from "./defaultConnectionLimits";
import { guardConnections } from "./guardConnections";
import type { HttpHandler } from "./httpHandler";
import type { HttpListener } from "./httpListener";
import { readTlsServerOptions } from "./readTlsServerOptions";
import { sendProblem } from "./sendProblem";

const MAXIMUM_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const CERTIFICATE_RELOAD_INTERVAL_MS = 5_000;
const DRAIN_POLL_INTERVAL_MS = 20;

const SERVER_OPTIONS = {
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
};

const createServer = (settings: ListenerSettings): Server | TlsServer =>
    settings.tls === "off"
        ? createPlainServer(SERVER_OPTIONS)
        : createTlsServer({ ...SERVER_OPTIONS, ...readTlsServerOptions(settings.tls) });

const startCertificateReload = (server: Server | TlsServer, settings: ListenerSettings): () => void => {
    const { tls } = settings;
    if (tls === "off" || !("setSecureContext" in server)) {
        return () => undefined;
    }
    const timer = setInterval(() => {
        try {
            server.setSecureContext(readTlsServerOptions(tls));
        }
        catch {
            // The files may be partly replaced at this moment; the next interval reads them again.
        }
    }, CERTIFICATE_RELOAD_INTERVAL_MS);
    timer.unref();
    return () => clearInterval(timer);
};

const formatUrl = (settings: ListenerSettings, port: number): string => {
    const host = settings.address.includes(":") ? `[${settings.address}]` : settings.address;
    return `${settings.tls === "off" ? "http" : "https"}://${host}:${port}`;
};

/** Starts a server with limits on headers and connections; its certificate is re-read every 5 s. */
export const createHttpListener = async (settings: ListenerSettings, handler: HttpHandler): Promise<HttpListener> => {
    const server = createServer(settings);
    let activeRequests = 0;
    let accepting = true;

    guardConnections(server, (request, response) => {
        activeRequests++;
        response.on("close", () => {
            activeRequests--;
        });
        if (!accepting) {
            response.shouldKeepAlive = false;
        }
        handler(request, response).catch(() => {
            if (response.headersSent) {
                breakOffResponse(response);
            }
            else {
                sendProblem(response, createFailure(ErrorCode.Internal));
            }
        });
    }, defaultConnectionLimits);
    server.on("clientError", (_error, socket) => {
        if (socket.writable) {
            socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        }
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(settings.port, settings.address, resolve);
    });
    const { port } = server.address() as AddressInfo;
    const stopCertificateReload = startCertificateReload(server, settings);

    const stopAccepting = (): void => {
        accepting = false;
        if (server.listening) {
            server.close();
        }
        server.closeIdleConnections();
    };

    const waitUntilDrained = async (timeoutMs: number): Promise<boolean> => {
        const untilMs = performance.now() + timeoutMs;
        while (activeRequests > 0 && performance.now() < untilMs) {
            await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_INTERVAL_MS));
        }
        return activeRequests === 0;
    };

    return {
        url: formatUrl(settings, port),
        port,
        stopAccepting,
        waitUntilDrained,
        activeRequests: () => activeRequests,
        [Symbol.asyncDispose]: async () => {
            stopCertificateReload();
            stopAccepting();
            server.closeAllConnections();
        },
    };
};
