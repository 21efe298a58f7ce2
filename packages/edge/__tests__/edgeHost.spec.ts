import { createServer, request as sendRequest } from "node:http";
import { createTestStore } from "./support/createTestStore";
import { createStoredUpstream, createTestConfiguration, startTestHost } from "./support/startTestHost";

const startUpstream = async (answerAfterMs = 0) => {
    const server = createServer((request, response) => {
        request.resume();
        setTimeout(() => {
            response.writeHead(200, { "X-Request": String(request.headers["x-request"]), "Content-Length": "2" });
            response.end("ok");
        }, answerAfterMs);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        port: typeof address === "object" && address !== null ? address.port : 0,
        [Symbol.asyncDispose]: async () => {
            server.closeAllConnections();
            server.close();
        },
    };
};

const call = (port: number, key: string, path = "/orders/1"): Promise<number> =>
    new Promise(resolve => {
        const outgoing = sendRequest({
            agent: false,
            host: "127.0.0.1",
            port,
            path,
            headers: { "Host": "shop.example", "X-Request": `r${performance.now()}`, "Authorization": key },
        }, response => {
            response.resume();
            response.on("end", () => resolve(response.statusCode ?? 0));
        });
        outgoing.on("error", () => resolve(0));
        outgoing.end();
    });

const until = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
    const giveUpAtMs = performance.now() + 6_000;
    while (!await condition() && performance.now() < giveUpAtMs) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
};

test("serves callers, is ready only once it has a configuration, and reports each usage window once", async () => {
    const store = createTestStore();
    await using upstream = await startUpstream();
    const { host, reports, callers, readiness, events } = await startTestHost(store, "a");
    expect(await call(readiness, "", "/")).toBe(503);
    expect(await call(callers, "k1")).toBe(503);
    store.write("configuration", JSON.stringify(createTestConfiguration(1, "k1")));
    store.write("upstreams/u-1", JSON.stringify(createStoredUpstream("u-1", upstream.port)));
    await until(async () => await call(readiness, "", "/") === 200);
    expect(await Promise.all([1, 2, 3].map(() => call(callers, "k1")))).toEqual([200, 200, 200]);
    expect(await call(callers, "unknown")).toBe(401);
    await until(() => reports.reduce((sum, { requests }) => sum + requests, 0) >= 3);
    const windows = reports.map(({ window }) => window);
    expect(reports.reduce((sum, { requests }) => sum + requests, 0)).toBe(3);
    expect(new Set(windows).size).toBe(windows.length);
    expect(events.filter(({ event }) => event === "request_ended").every(({ fields }) => "outcome" in fields)).toBe(
        true,
    );
    await host[Symbol.asyncDispose]();
}, 20_000);

test("a host that can't reach the store receives a new API key from its peer", async () => {
    const store = createTestStore();
    await using upstream = await startUpstream();
    store.write("configuration", JSON.stringify(createTestConfiguration(1, "k1")));
    store.write("upstreams/u-1", JSON.stringify(createStoredUpstream("u-1", upstream.port)));
    const first = await startTestHost(store, "a");
    const second = await startTestHost(store, "bb", [first.peersAddress]);
    await until(async () => await call(second.callers, "k1") === 200);
    store.refused.add("bb");
    store.write("configuration", JSON.stringify(createTestConfiguration(2, "k2")));
    await until(async () => await call(second.callers, "k2") === 200);
    expect(await call(second.callers, "k2")).toBe(200);
    expect(await call(second.callers, "k1")).toBe(401);
    const applied = second.events.filter(({ event }) => event === "configuration_applied");
    expect(applied.at(-1)?.fields).toMatchObject({ version: 2, source: "peer" });
    await second.host[Symbol.asyncDispose]();
    await first.host[Symbol.asyncDispose]();
}, 20_000);

test("a stopping host is not ready, answers the request in flight and stops before the grace period ends", async () => {
    const store = createTestStore();
    await using upstream = await startUpstream(1_500);
    store.write("configuration", JSON.stringify(createTestConfiguration(1, "k1")));
    store.write("upstreams/u-1", JSON.stringify(createStoredUpstream("u-1", upstream.port)));
    const { host, callers, readiness } = await startTestHost(store, "a");
    await until(async () => await call(readiness, "", "/") === 200);
    const answered = call(callers, "k1");
    await new Promise(resolve => setTimeout(resolve, 100));
    const startedAtMs = performance.now();
    const stopped = host.stop();
    expect(await call(readiness, "", "/")).toBe(503);
    expect(await answered).toBe(200);
    await stopped;
    expect(performance.now() - startedAtMs).toBeLessThan(4_000);
    await host[Symbol.asyncDispose]();
}, 20_000);

test(
    "after a restoration the configuration does not go back, and a new host takes the newer one from its peers",
    async () => {
        const store = createTestStore();
        await using upstream = await startUpstream();
        store.write("configuration", JSON.stringify(createTestConfiguration(1, "k1")));
        store.write("upstreams/u-1", JSON.stringify(createStoredUpstream("u-1", upstream.port)));
        const first = await startTestHost(store, "a");
        await until(async () => await call(first.callers, "k1") === 200);
        const restore = store.takeCopy();
        store.write("configuration", JSON.stringify(createTestConfiguration(2, "k2")));
        await until(async () => await call(first.callers, "k2") === 200);
        restore();
        const second = await startTestHost(store, "bb", [first.peersAddress]);
        await until(async () => await call(second.readiness, "", "/") === 200);
        await until(async () => await call(second.callers, "k2") === 200);
        expect([await call(first.callers, "k2"), await call(first.callers, "k1")]).toEqual([200, 401]);
        expect([await call(second.callers, "k2"), await call(second.callers, "k1")]).toEqual([200, 401]);
        await second.host[Symbol.asyncDispose]();
        await first.host[Symbol.asyncDispose]();
    },
    20_000,
);

test("a host stores its address again after a restoration that lost it", async () => {
    const store = createTestStore();
    await using upstream = await startUpstream();
    store.write("configuration", JSON.stringify(createTestConfiguration(1, "k1")));
    store.write("upstreams/u-1", JSON.stringify(createStoredUpstream("u-1", upstream.port)));
    const restore = store.takeCopy();
    const { host, events } = await startTestHost(store, "a");
    const registrations = () => events.filter(({ event }) => event === "host_registered");
    await until(() => registrations().length === 1);
    restore();
    await until(() => registrations().length === 2);
    expect(registrations().map(({ fields }) => fields["storeEpoch"])).toEqual([1, 2]);
    expect((await store.storeOf("a").get("own/hosts/a", { cause: "membership-seed" })).unwrap()).toBeDefined();
    await host[Symbol.asyncDispose]();
}, 20_000);

test(
    "an upstream that a host knows to be leaving stays so at its peers after a restoration lists it as ready",
    async () => {
        const store = createTestStore();
        await using upstream = await startUpstream();
        const record = createStoredUpstream("u-1", upstream.port);
        store.write("configuration", JSON.stringify(createTestConfiguration(1, "k1")));
        store.write("upstreams/u-1", JSON.stringify(record));
        const first = await startTestHost(store, "a");
        await until(async () => await call(first.callers, "k1") === 200);
        const restore = store.takeCopy();
        store.write("upstreams/u-1", JSON.stringify({ ...record, isLeaving: true }));
        await until(async () => await call(first.callers, "k1") === 503);
        restore();
        const second = await startTestHost(store, "bb", [first.peersAddress]);
        await until(() => second.events.some(({ event }) => event === "upstream_leaving"));
        expect([await call(first.callers, "k1"), await call(second.callers, "k1")]).toEqual([503, 503]);
        await second.host[Symbol.asyncDispose]();
        await first.host[Symbol.asyncDispose]();
    },
    20_000,
);
