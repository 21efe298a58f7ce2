import { createServer } from "node:http";

/**
 * Starts an upstream that states a limit or a number of rejections in its answers, while there is one, and records the
 * requests it gets. It rejects requests beyond its slots.
 */
export const startLimitedUpstream = async (slots = Infinity, workMs = 20) => {
    const state = {
        limitPerS: undefined as number | undefined,
        rejectionsPerS: undefined as number | undefined,
        running: 0,
        served: 0,
    };
    const arrivalTimesMs: number[] = [];
    const rejectionTimesMs: number[] = [];
    const server = createServer((request, response) => {
        arrivalTimesMs.push(performance.now());
        request.resume();
        const limit = state.limitPerS === undefined ? {} : { "X-Limit": String(state.limitPerS) };
        const brittleness = state.rejectionsPerS === undefined ? {} : { "X-Brittle": String(state.rejectionsPerS) };
        const headers = { "X-Request": String(request.headers["x-request"]), ...limit, ...brittleness };
        if (state.running >= slots) {
            rejectionTimesMs.push(performance.now());
            response.writeHead(503, { ...headers, "X-Not-Run": "1", "Content-Length": "0" }).end();
            return;
        }
        state.running++;
        response.writeHead(200, { ...headers, "Content-Length": "2" });
        setTimeout(() => {
            state.running--;
            state.served++;
            response.end("ok");
        }, workMs);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        port: typeof address === "object" && address !== null ? address.port : 0,
        state,
        arrivalTimesMs,
        rejectionTimesMs,
        [Symbol.asyncDispose]: async () => {
            server.closeAllConnections();
            server.close();
        },
    };
};
