import { createServer } from "node:http";

/** Starts an upstream that states a limit in its answers, while there is one, and records the requests it gets. */
export const startLimitedUpstream = async () => {
    const state = { limitPerS: undefined as number | undefined };
    const arrivalTimesMs: number[] = [];
    const server = createServer((request, response) => {
        arrivalTimesMs.push(performance.now());
        request.resume();
        const limit = state.limitPerS === undefined ? {} : { "X-Limit": String(state.limitPerS) };
        response.writeHead(200, {
            "X-Request": String(request.headers["x-request"]),
            "Content-Length": "2",
            ...limit,
        });
        setTimeout(() => response.end("ok"), 20);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        port: typeof address === "object" && address !== null ? address.port : 0,
        state,
        arrivalTimesMs,
        [Symbol.asyncDispose]: async () => {
            server.closeAllConnections();
            server.close();
        },
    };
};
