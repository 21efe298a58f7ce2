import { Agent, createServer, request as openRequest } from "node:http";
import type { AddressInfo } from "node:net";
import { pipeline } from "node:stream";

const CPU_PATH = "/cpu";
const MICROSECONDS_PER_SECOND = 1_000_000;

/**
 * Starts a minimal streaming proxy to one engine, the baseline for the entry host. `GET /cpu` returns its CPU time in
 * seconds.
 */
export const createPassThrough = async (targetUrl: string): Promise<AsyncDisposable & { readonly url: string; }> => {
    const agent = new Agent({ keepAlive: true });
    const server = createServer((incoming, response) => {
        if (incoming.url === CPU_PATH) {
            const { user, system } = process.cpuUsage();
            response.end(String((user + system) / MICROSECONDS_PER_SECOND));
            return;
        }
        const { method, headers } = incoming;
        const outgoing = openRequest(`${targetUrl}${incoming.url}`, { method, headers, agent }, answer => {
            response.writeHead(answer.statusCode ?? 0, answer.headers);
            // Unlike `pipe`, this breaks off the response when the answer breaks off.
            pipeline(answer, response, () => undefined);
        });
        outgoing.on("error", () => response.destroy());
        incoming.pipe(outgoing);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        [Symbol.asyncDispose]: async () => {
            server.close();
            server.closeAllConnections();
            agent.destroy();
        },
    };
};
