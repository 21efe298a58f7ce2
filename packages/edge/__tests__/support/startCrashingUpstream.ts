import { createServer, type Server } from "node:http";
import type { createTestStore } from "./createTestStore";
import { createStoredUpstream } from "./startTestHost";

/** Time from the head of an answer to the crash that its prompt part causes, and until the upstream listens again. */
const CRASH_AFTER_MS = 60;
const RESTART_AFTER_MS = 300;

/** Time from the head to the end of a sound answer; answers are under way when a crash comes. */
const ANSWER_MS = 120;

/** What the upstreams of a test have seen. */
export interface CrashRecords {
    readonly crashingPart: string;
    readonly crashTimesMs: number[];
    /** Times at which requests with the crashing part arrived. */
    readonly arrivalTimesMs: number[];
}

/**
 * Starts an upstream that crashes when it begins to answer a request with the crashing part, and starts again at the
 * same address.
 */
export const startCrashingUpstream = async (
    store: ReturnType<typeof createTestStore>,
    upstreamId: string,
    records: CrashRecords,
) => {
    let server: Server | undefined;
    let startedAtMs = 0;
    let port = 0;
    let isStopped = false;

    const crash = (): void => {
        if (server?.listening === true) {
            records.crashTimesMs.push(performance.now());
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
            const parts = String(request.headers["x-parts"] ?? "").split(",");
            const crashes = parts.includes(records.crashingPart);
            if (crashes) {
                records.arrivalTimesMs.push(performance.now());
            }
            request.resume();
            response.writeHead(200, { "X-Request": String(request.headers["x-request"]), "Content-Length": "2" });
            response.flushHeaders();
            setTimeout(
                crashes ? crash : () => response.end("ok"),
                crashes ? CRASH_AFTER_MS : ANSWER_MS,
            );
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
        crash,
        [Symbol.asyncDispose]: async () => {
            isStopped = true;
            server?.closeAllConnections();
            server?.close();
        },
    };
};
