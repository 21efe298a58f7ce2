import { createServer } from "node:http";
import type { MetricsRegistry } from "./metricsRegistry";

/** Serves the metrics as text on every path of `ip:port`. */
export const listenForMetrics = async (address: string, metrics: MetricsRegistry): Promise<AsyncDisposable> => {
    const separator = address.lastIndexOf(":");
    const server = createServer((_request, response) => {
        response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
        response.end(metrics.render());
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(
            { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) },
            () => resolve(),
        );
    });
    return {
        [Symbol.asyncDispose]: async () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
