// Guards against callers that send the headers that hosts use among each other: a mark reached upstreams, and a host that is
// cut off passed it on with its own, so that each peer refused the request as relayed twice.
import { createServer } from "node:http";
import { actEveryMs } from "./support/actEveryMs";
import { sendTestRequest } from "./support/sendTestRequest";
import { startPacedTime } from "./support/startPacedTime";
import { startRelayGroup } from "./support/startRelayGroup";
import { createStoredUpstream } from "./support/startTestHost";

const HEADERS = {
    "ibis-relay-mark": "10.0.0.1:7000",
    "Ibis-Relay-Head": "{}",
    "ibis-relay-version": "v9",
    "ibis-relay-other": "1",
    "X-Own": "kept",
};

const NOTICE_MS = 1_000;

test("headers for hosts that a caller sends are removed, and its requests are served, relayed ones too", async () => {
    const received: string[][] = [];
    await using _paced = startPacedTime();
    await using group = await startRelayGroup({
        hosts: 3,
        behindForwarders: 1,
        route: { kind: "repeatable", objectiveMs: 1_000, timeoutMs: 4_000, maximumAttempts: 2 },
        startUpstream: async (store, index) => {
            const server = createServer((request, response) => {
                received.push(request.rawHeaders);
                request.resume();
                response.writeHead(200, { "X-Request": String(request.headers["x-request"]), "Content-Length": "2" });
                response.end("{}");
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const address = server.address();
            const port = typeof address === "object" && address !== null ? address.port : 0;
            store.write(`upstreams/u-${index}`, JSON.stringify(createStoredUpstream(`u-${index}`, port)));
            return {
                port,
                [Symbol.asyncDispose]: async () => {
                    server.closeAllConnections();
                    server.close();
                },
            };
        },
    });
    const send = (): Promise<number> =>
        sendTestRequest(group.hosts[0]?.callers ?? 0, { path: "/orders/1", body: "{}", headers: HEADERS });
    expect(await send()).toBe(200);
    group.forwarders[0]?.reset();
    await actEveryMs(100, NOTICE_MS, () => void send());
    const statuses = [await send(), await send(), await send()];
    expect(statuses).toEqual([200, 200, 200]);
    const relayed = group.hosts.flatMap(({ events }) => events.filter(({ event }) => event === "relay_ended"));
    expect(relayed.length).toBeGreaterThanOrEqual(statuses.length);
    expect(received.length).toBeGreaterThan(statuses.length);
    received.forEach(rawHeaders => {
        expect(rawHeaders.filter(text => text.toLowerCase().startsWith("ibis-relay-"))).toEqual([]);
        expect(rawHeaders).toContain("kept");
    });
}, 120_000);
