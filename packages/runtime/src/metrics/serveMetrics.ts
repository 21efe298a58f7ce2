import { createServer } from "node:http";
import { listen } from "../http/listen";
import type { MetricsRegistry } from "./metricsRegistry";

/** Serves the metrics in the Prometheus text format on every path of an HTTP listener at `ip:port`. */
export const serveMetrics = async (address: string, metrics: MetricsRegistry): Promise<AsyncDisposable> => {
    const server = createServer((_request, response) => {
        response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
        response.end(metrics.render());
    });
    await listen(server, address);
    return {
        [Symbol.asyncDispose]: async () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
