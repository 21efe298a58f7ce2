// Guards against a status that no final answer has and that reaches callers, or that is recorded as the answer to an action.
import { createServer } from "node:net";
import { startTestSystem, TEST_KEY } from "./startTestSystem";

/** Starts a service that answers each request with the given status. */
const startService = async (status: string) => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.end(`HTTP/1.1 ${status} OK\r\nContent-Length: 2\r\n\r\n{}`));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        url: `http://127.0.0.1:${typeof address === "object" && address !== null ? address.port : 0}`,
        [Symbol.asyncDispose]: async () => void server.close(),
    };
};

test.each(["000", "099", "600", "999"])(
    "an answer of a service with status %s is not sent to callers",
    async status => {
        await using service = await startService(status);
        await using system = await startTestSystem(0, service.url);
        const send = async (method: string, path: string, headers: Readonly<Record<string, string>> = {}) => {
            const response = await fetch(`${system.entry.url}/services/${path}`, {
                method,
                headers: { authorization: `Bearer ${TEST_KEY}`, "x-request-timeout-ms": "4000", ...headers },
                signal: AbortSignal.timeout(10_000),
            });
            return { status: response.status, isReplayed: response.headers.has("idempotent-replayed") };
        };
        expect(await send("GET", "catalogue/items")).toEqual({ status: 502, isReplayed: false });
        const action = { "idempotency-key": "key-1" };
        const first = await send("POST", "payments/orders", action);
        const second = await send("POST", "payments/orders", action);
        expect([first, second]).toEqual([{ status: 502, isReplayed: false }, { status: 502, isReplayed: false }]);
    },
);
