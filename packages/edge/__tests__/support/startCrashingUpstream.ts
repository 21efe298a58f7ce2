import { createServer, type IncomingMessage, type Server } from "node:http";
import type { createTestStore } from "./createTestStore";
import { createStoredUpstream } from "./startTestHost";

/** Time until the upstream listens again. */
const RESTART_AFTER_MS = 300;

/** Time from the head to the end of a sound answer; answers are under way when a crash comes. */
const ANSWER_MS = 120;

/** How a request crashes the upstreams that run it. */
export interface Crashing {
    /** Whether the upstream has sent the head of the answer before. */
    readonly hasHead: boolean;
    /** Status of that head; 200 by default. */
    readonly status?: number;
    /** Time from the head, or from the arrival if there is none, to the crash. */
    readonly afterMs: number;
}

/** What the upstreams of a test have seen. */
export interface CrashRecords {
    /** Returns how the request crashes the upstream; undefined for a sound one. */
    readonly crashingOf: (request: IncomingMessage) => Crashing | undefined;
    readonly crashes: { readonly request: string; readonly atMs: number; }[];
    /** Arrivals of crashing requests. */
    readonly arrivals: { readonly request: string; readonly atMs: number; }[];
}

/** Starts an upstream that crashes under some requests, and starts again at the same address. */
export const startCrashingUpstream = async (
    store: ReturnType<typeof createTestStore>,
    upstreamId: string,
    records: CrashRecords,
) => {
    let server: Server | undefined;
    let startedAtMs = 0;
    let port = 0;
    let isStopped = false;

    const crash = (running: Server | undefined, request: string): void => {
        if (server?.listening === true && running === server) {
            records.crashes.push({ request, atMs: performance.now() });
            server.close();
            server.closeAllConnections();
            setTimeout(() => void start(), RESTART_AFTER_MS);
        }
    };

    const start = async (): Promise<void> => {
        if (isStopped) {
            return;
        }
        const started = createServer((request, response) => {
            const crashing = records.crashingOf(request);
            const target = request.url ?? "";
            request.resume();
            const sendHead = (): void => {
                response.writeHead(crashing?.status ?? 200, {
                    "X-Request": String(request.headers["x-request"]),
                    "Content-Length": "2",
                });
                response.flushHeaders();
            };
            if (crashing === undefined) {
                sendHead();
                setTimeout(() => response.end("ok"), ANSWER_MS);
                return;
            }
            records.arrivals.push({ request: target, atMs: performance.now() });
            if (crashing.hasHead) {
                sendHead();
            }
            setTimeout(() => crash(started, target), crashing.afterMs);
        });
        server = started;
        await new Promise<void>(resolve => started.listen(port, "127.0.0.1", resolve));
        const address = started.address();
        port = typeof address === "object" && address !== null ? address.port : 0;
        startedAtMs++;
        store.write(
            `upstreams/${upstreamId}`,
            JSON.stringify({ ...createStoredUpstream(upstreamId, port), startedAtMs, slots: 64 }),
        );
    };
    await start();

    return {
        [Symbol.asyncDispose]: async () => {
            isStopped = true;
            server?.closeAllConnections();
            server?.close();
        },
    };
};
