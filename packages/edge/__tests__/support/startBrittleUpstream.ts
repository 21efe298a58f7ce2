import { createServer } from "node:http";

/** Time for which a request takes a slot. */
const WORK_MS = 150;

/**
 * Starts an upstream that rejects requests beyond its slots, and lets none wait; while it has a number of rejections, it
 * states it in its answers. It records the times of its rejections and the number of requests that it has served.
 */
export const startBrittleUpstream = async (slots: number) => {
    const state = { rejectionsPerS: undefined as number | undefined, running: 0, served: 0 };
    const rejectionTimesMs: number[] = [];
    const server = createServer((request, response) => {
        request.resume();
        const id = { "X-Request": String(request.headers["x-request"]) };
        const statement = state.rejectionsPerS === undefined ? {} : { "X-Brittle": String(state.rejectionsPerS) };
        if (state.running >= slots) {
            rejectionTimesMs.push(performance.now());
            response.writeHead(503, { ...id, ...statement, "X-Not-Run": "1", "Content-Length": "0" }).end();
            return;
        }
        state.running++;
        setTimeout(() => {
            state.running--;
            state.served++;
            response.writeHead(200, { ...id, ...statement, "Content-Length": "2" }).end("ok");
        }, WORK_MS);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        port: typeof address === "object" && address !== null ? address.port : 0,
        workMs: WORK_MS,
        state,
        rejectionTimesMs,
        [Symbol.asyncDispose]: async () => {
            server.closeAllConnections();
            server.close();
        },
    };
};
