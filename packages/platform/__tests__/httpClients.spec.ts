import { ErrorCode } from "@ibislanding/core";
import { createServer } from "node:http";
import { createHttpHostList, createHttpKeyValueStore } from "../src";

/** Starts a service that gives the same response to every request. */
const startService = async (status: number, body: string, headers: Readonly<Record<string, string>> = {}) => {
    const server = createServer((request, response) => {
        request.resume();
        response.writeHead(status, headers);
        response.end(body);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    const url = `http://127.0.0.1:${typeof address === "object" && address !== null ? address.port : 0}`;
    return {
        store: createHttpKeyValueStore(url),
        hosts: createHttpHostList(url),
        [Symbol.asyncDispose]: async () => {
            server.closeAllConnections();
            server.close();
        },
    };
};

/** Longer than a call takes on a busy machine. */
const options = { cause: "lease", timeoutMs: 10_000 } as const;

const swap = { key: "k", expectedVersion: 0, value: "v" };

test("status 404 is a missing key for a read, and a failure for a write or a lease", async () => {
    await using service = await startService(404, "");
    expect((await service.store.get("k", options)).unwrap()).toBeUndefined();
    expect((await service.store.compareAndSwap(swap, options)).err).toBe(true);
    expect((await service.store.keepLeaseAlive("l", options)).val).toMatchObject({ code: ErrorCode.LeaseLost });
});

test.each(["", "nonsense", "{"])("a success with the body '%s' is a failure and not an exception", async body => {
    await using service = await startService(200, body);
    expect((await service.store.list("p", options)).val).toMatchObject({ code: ErrorCode.KeyValueUnavailable });
    expect((await service.store.grantLease(1_000, options)).val).toMatchObject({
        code: ErrorCode.KeyValueOutcomeUnknown,
    });
    expect((await service.store.compareAndSwap(swap, options)).val).toMatchObject({
        code: ErrorCode.KeyValueOutcomeUnknown,
    });
});

test("a host list that is not valid JSON is a failure and not an exception", async () => {
    await using service = await startService(200, "nonsense");
    expect((await service.hosts.listUpstreams()).val).toMatchObject({ code: ErrorCode.PlatformUnavailable });
});
