import { ErrorCode } from "@ibislanding/core";
import { createServer } from "node:net";
import { createHttpCloudApi, createHttpHostList, createHttpKeyValueStore } from "../src";

// A response without a length ends with its connection, wherever that happens. A document that is cut does not parse,
// but a cut value or a missing document would be taken for a shorter value or for an empty list.

/** Starts a TCP server that answers each request with the given bytes and closes the connection. */
const startServer = async (head: string, body: string) => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.end(`HTTP/1.1 200 OK\r\n${head}\r\n${body}`));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        url: `http://127.0.0.1:${typeof address === "object" && address !== null ? address.port : 0}`,
        [Symbol.asyncDispose]: async () => void server.close(),
    };
};

const options = { cause: "lease", timeoutMs: 10_000 } as const;

test("a value without a length may be cut, and is not taken for the stored one", async () => {
    await using server = await startServer("X-Version: 7\r\n", "the first half of a val");
    await using store = createHttpKeyValueStore(server.url);
    expect((await store.get("k", options)).val).toMatchObject({ code: ErrorCode.KeyValueUnavailable });
    expect((await store.waitForChange("k", 6, 100, options)).val).toMatchObject({
        code: ErrorCode.KeyValueUnavailable,
    });
});

test("a document without a length is read, since a cut one does not parse", async () => {
    await using server = await startServer("", "[]");
    await using hosts = createHttpHostList(server.url);
    expect((await hosts.listUpstreams()).unwrap()).toEqual([]);
});

test("a missing document is not taken for an empty one", async () => {
    await using server = await startServer("", "");
    await using hosts = createHttpHostList(server.url);
    await using cloud = createHttpCloudApi(server.url);
    expect((await hosts.listUpstreams()).val).toMatchObject({ code: ErrorCode.PlatformUnavailable });
    expect((await hosts.listSystemHosts()).val).toMatchObject({ code: ErrorCode.PlatformUnavailable });
    expect((await cloud.listOffers()).val).toMatchObject({ code: ErrorCode.PlatformUnavailable });
});
