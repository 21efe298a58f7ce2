// Guards against requests that are cut without an answer at the end of a planned stop: each gets the truest answer there is, and what
// can't end in time is not passed on.
import { createResourceStack } from "@ibislanding/core";
import { type ClientRequest, createServer, request as sendRequest } from "node:http";
import { createTestStore } from "./support/createTestStore";
import { pauseMs } from "./support/pauseMs";
import { sendTestRequest } from "./support/sendTestRequest";
import { createStoredUpstream, createTestConfiguration, startTestHost } from "./support/startTestHost";

/** Later than a stopping host takes new requests. */
const LATE_MS = 2_800;

/** Starts a host before an upstream that never answers, except for the begin of a stream. */
const startHost = async (isStream = false) => {
    const resources = createResourceStack();
    const received: string[] = [];
    const upstream = createServer((request, response) => {
        request.resume();
        received.push(request.url ?? "");
        if (isStream) {
            const id = String(request.headers["x-request"]);
            response.writeHead(200, { "X-Request": id, "Content-Type": "text/event-stream" });
            response.write("id: 1\ndata: first\n\n");
        }
    });
    await new Promise<void>(resolve => upstream.listen(0, "127.0.0.1", resolve));
    resources.defer(async () => {
        upstream.closeAllConnections();
        upstream.close();
    });
    const address = upstream.address();
    const port = typeof address === "object" && address !== null ? address.port : 0;
    const store = createTestStore();
    const { routes, ...configuration } = createTestConfiguration(1, "k1");
    const longRoutes = routes.map(route => ({
        ...route,
        kind: isStream ? "stream" : "once",
        objectiveMs: 2_000,
        timeoutMs: 9_000,
    }));
    store.write("configuration", JSON.stringify({ ...configuration, routes: longRoutes }));
    store.write("upstreams/u-1", JSON.stringify(createStoredUpstream("u-1", port)));
    const { host, callers, events } = await startTestHost(store, "a");
    await pauseMs(600);
    return {
        received,
        callers,
        events,
        /** Stops the host as its process does, until it has closed everything. */
        stop: async () => {
            await host.stop();
            await host[Symbol.asyncDispose]();
        },
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};

/** Sends the head and a part of the body; resolves with the status. */
const beginRequest = (port: number, path: string): { outgoing: ClientRequest; status: Promise<number>; } => {
    const outgoing = sendRequest({
        agent: false,
        host: "127.0.0.1",
        port,
        method: "POST",
        path,
        headers: { "Host": "shop.example", "X-Request": "r1", "Authorization": "k1", "Content-Length": "4" },
    });
    const status = new Promise<number>(resolve => {
        outgoing.on("response", response => {
            response.resume();
            response.on("close", () => resolve(response.complete ? response.statusCode ?? 0 : 0));
        });
        outgoing.on("error", () => resolve(0));
    });
    outgoing.write("ab");
    return { outgoing, status };
};

test("a request that an upstream still runs at the end of the grace is answered that its outcome is not known", async () => {
    await using system = await startHost();
    const status = sendTestRequest(system.callers, { path: "/orders/1", body: "{}" });
    await pauseMs(100);
    await system.stop();
    expect(await status).toBe(504);
    expect(system.received).toEqual(["/orders/1"]);
    expect(system.events.filter(({ event }) => event === "request_ended").map(({ fields }) => fields["reason"]))
        .toEqual([
            "stopping",
        ]);
});

test("a request whose body is complete too late is answered that it has not run, and is not passed on", async () => {
    await using system = await startHost();
    const { outgoing, status } = beginRequest(system.callers, "/orders/late");
    const stopped = system.stop();
    await pauseMs(LATE_MS);
    outgoing.end("cd");
    await stopped;
    expect(await status).toBe(503);
    expect(system.received).toEqual([]);
});

test("a request whose body never comes is answered that it has not run", async () => {
    await using system = await startHost();
    const { status } = beginRequest(system.callers, "/orders/half");
    await system.stop();
    expect(await status).toBe(503);
    expect(system.received).toEqual([]);
});

test("a stream that goes on at the end of the grace ends visibly incomplete", async () => {
    await using system = await startHost(true);
    const status = sendTestRequest(system.callers, { path: "/orders/stream", body: "{}" });
    await pauseMs(300);
    await system.stop();
    expect(await status).toBe(0);
    expect(system.received).toEqual(["/orders/stream"]);
});
