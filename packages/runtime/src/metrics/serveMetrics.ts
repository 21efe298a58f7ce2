import { createServer } from "node:http";
import type { ConnectionLimits } from "../http/connectionLimits";
import { defaultConnectionLimits } from "../http/defaultConnectionLimits";
import { guardConnections } from "../http/guardConnections";
import type { HttpHandler } from "../http/httpHandler";
import { listen } from "../http/listen";
import type { MetricsRegistry } from "./metricsRegistry";

/**
 * Serves the metrics in the Prometheus text format on every path of an HTTP listener at `ip:port`, except for the paths
 * whose first segment has a handler of its own.
 */
export const serveMetrics = async (
    address: string,
    metrics: MetricsRegistry,
    handlers: Readonly<Record<string, HttpHandler>> = {},
    limits: ConnectionLimits = defaultConnectionLimits,
): Promise<AsyncDisposable> => {
    const server = createServer();
    guardConnections(server, (request, response) => {
        const [, segment = ""] = (request.url ?? "/").split(/[/?]/);
        const handle = handlers[segment];
        if (handle === undefined) {
            response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
            response.end(metrics.render());
            return;
        }
        handle(request, response).catch((error: unknown) => {
            response.destroy();
            // Logged by the program, as any rejection that nothing handles.
            throw error;
        });
    }, limits);
    await listen(server, address);
    return {
        [Symbol.asyncDispose]: async () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
