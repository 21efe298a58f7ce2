// Guards against an answer that reaches callers although its head is invalid: Node.js parses any three digits as a status.
import { ErrorCode, type RequestId } from "@ibislanding/core";
import { createServer } from "node:net";
import { createHttpServiceClient, type ServiceCall } from "../src";

const DELETE = 0x7f;
const SPACE = 0x20;

const invalidBytes = [...Array.from({ length: SPACE + 1 }, (_, code) => code), DELETE].map(code =>
    String.fromCharCode(code)
);

/** Starts a TCP server that sends the current head, and a body of two bytes, on each connection. */
const startServer = async () => {
    const state = { head: "" };
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.end(`${state.head}\r\n{}`, "latin1"));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        state,
        url: `http://127.0.0.1:${typeof address === "object" && address !== null ? address.port : 0}`,
        [Symbol.asyncDispose]: async () => void server.close(),
    };
};

const call: ServiceCall = {
    requestId: "r1" as RequestId,
    method: "POST",
    path: "/orders",
    headers: {},
    body: Buffer.from("{}"),
    timeoutMs: 1_000,
    freshConnection: true,
};

const send = (client: ReturnType<typeof createHttpServiceClient>) => client.call(call, new AbortController().signal);

test.each(["000", "001", "099", "600", "999"])("an answer with status %s is invalid", async status => {
    await using server = await startServer();
    await using client = createHttpServiceClient(server.url);
    server.state.head = `HTTP/1.1 ${status} OK\r\nContent-Length: 2\r\n`;
    expect((await send(client)).val).toMatchObject({ code: ErrorCode.UpstreamInvalidAnswer });
});

test("an answer with a blank or a control byte in a field name is not passed on", async () => {
    await using server = await startServer();
    await using client = createHttpServiceClient(server.url);
    const lines = invalidBytes.flatMap(byte => [
        `${byte}X-Extra: 1`,
        `X-${byte}Extra: 1`,
        `X-Extra${byte}: 1`,
        `Content-Length${byte}: 1`,
        `Transfer-Encoding${byte}: chunked`,
    ]);
    for (const line of lines) {
        server.state.head = `HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n${line}\r\n`;
        const { val } = await send(client);
        expect({ line, val }).toMatchObject({ val: { code: ErrorCode.UpstreamSilent } });
    }
});
