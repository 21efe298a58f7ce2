// Guards against a response that counts as a success although its head is invalid: Node.js parses any three digits as a status, and those
// below 200 are smaller than the statuses of failures.
import { ErrorCode } from "@ibislanding/core";
import { createInvalidHeads } from "../../core/__tests__/support/createInvalidHeads";
import { startHeadServer } from "../../core/__tests__/support/startHeadServer";
import { createHttpHostList, createHttpKeyValueStore } from "../src";

const options = { cause: "lease", timeoutMs: 10_000 } as const;

const LENGTH = "Content-Length: 2\r\n";

const statuses = ["000", "001", "099", "600", "999"].map(status => ({
    title: `status ${status}`,
    head: `HTTP/1.1 ${status} OK\r\n${LENGTH}\r\n`,
}));

const expectNoSuccess = async (url: string): Promise<void> => {
    await using store = createHttpKeyValueStore(url);
    await using hosts = createHttpHostList(url);
    const swap = { key: "k", expectedVersion: 0, value: "v" };
    expect((await store.get("k", options)).val).toMatchObject({ code: ErrorCode.KeyValueUnavailable });
    expect((await store.list("p", options)).val).toMatchObject({ code: ErrorCode.KeyValueUnavailable });
    expect((await store.keepLeaseAlive("l", options)).val).toMatchObject({ code: ErrorCode.KeyValueOutcomeUnknown });
    expect((await store.compareAndSwap(swap, options)).val).toMatchObject({ code: ErrorCode.KeyValueOutcomeUnknown });
    expect((await hosts.listUpstreams()).val).toMatchObject({ code: ErrorCode.PlatformUnavailable });
};

test.each([...statuses, ...createInvalidHeads(LENGTH)])("a response with $title is no success", async ({ head }) => {
    await using server = await startHeadServer();
    Object.assign(server.state, { text: `${head}[]`, isOdd: true });
    await expectNoSuccess(`http://127.0.0.1:${server.port}`);
});

test.each([false, true])(
    "a response with an invalid field name on a kept connection is no success, byte by byte %s",
    async isSlow => {
        await using server = await startHeadServer();
        await using store = createHttpKeyValueStore(`http://127.0.0.1:${server.port}`);
        for (const { title, head } of createInvalidHeads(LENGTH)) {
            Object.assign(server.state, { text: `HTTP/1.1 200 OK\r\n${LENGTH}\r\n[]`, isOdd: false, isSlow });
            expect(await store.list("p", options)).toMatchObject({ ok: true });
            Object.assign(server.state, { text: `${head}[]`, isOdd: true });
            const { val } = await store.list("p", options);
            expect({ title, val }).toMatchObject({ title, val: { code: ErrorCode.KeyValueUnavailable } });
        }
        expect(server.requests().filter(requests => requests === 2).length).toBeGreaterThan(0);
    },
);
