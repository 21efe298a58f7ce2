// Guards against a response that counts as a success although its head is invalid: Node.js parses any three digits as a status, and those
// below 200 are smaller than the statuses of failures.
import { ErrorCode } from "@ibislanding/core";
import { createServer } from "node:net";
import { createHttpHostList, createHttpKeyValueStore } from "../src";

const DELETE = 0x7f;
const SPACE = 0x20;

const invalidBytes = [...Array.from({ length: SPACE + 1 }, (_, code) => code), DELETE].map(code =>
    String.fromCharCode(code)
);

/** Starts a TCP server that sends the given head, and an empty list as the body, on each connection. */
const startServer = async (head: string) => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.end(`${head}Content-Length: 2\r\n\r\n[]`, "latin1"));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        url: `http://127.0.0.1:${typeof address === "object" && address !== null ? address.port : 0}`,
        [Symbol.asyncDispose]: async () => void server.close(),
    };
};

const options = { cause: "lease", timeoutMs: 10_000 } as const;

const statuses = ["000", "001", "099", "600", "999"].map(status =>
    [`status ${status}`, `HTTP/1.1 ${status} OK\r\n`] as const
);

const names = invalidBytes.flatMap(byte =>
    [`${byte}X-Version`, `X-${byte}Version`, `X-Version${byte}`].map(name =>
        [`the field name ${JSON.stringify(name)}`, `HTTP/1.1 200 OK\r\n${name}: 7\r\n`] as const
    )
);

test.each([...statuses, ...names])("a response with %s is no success", async (_, head) => {
    await using server = await startServer(head);
    await using store = createHttpKeyValueStore(server.url);
    await using hosts = createHttpHostList(server.url);
    const swap = { key: "k", expectedVersion: 0, value: "v" };
    expect((await store.get("k", options)).val).toMatchObject({ code: ErrorCode.KeyValueUnavailable });
    expect((await store.list("p", options)).val).toMatchObject({ code: ErrorCode.KeyValueUnavailable });
    expect((await store.keepLeaseAlive("l", options)).val).toMatchObject({ code: ErrorCode.KeyValueOutcomeUnknown });
    expect((await store.compareAndSwap(swap, options)).val).toMatchObject({ code: ErrorCode.KeyValueOutcomeUnknown });
    expect((await hosts.listUpstreams()).val).toMatchObject({ code: ErrorCode.PlatformUnavailable });
});
