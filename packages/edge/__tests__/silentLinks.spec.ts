// Guards against requests that wait until their deadline for an upstream whose link lets connections open and nothing else through.
import { createServer, type Socket } from "node:net";
import { actEveryMs } from "./support/actEveryMs";
import { createTestStore } from "./support/createTestStore";
import { sendTestRequest } from "./support/sendTestRequest";
import { startLimitedUpstream } from "./support/startLimitedUpstream";
import { createStoredUpstream, createTestConfiguration, startTestHost } from "./support/startTestHost";

const INTERVAL_MS = 40;
const DURATION_MS = 8_000;
/** Within the deadline of the route, which a request at the silent upstream would wait for. */
const IN_TIME_MS = 3_000;

/** Starts an upstream that accepts connections and never answers. */
const startSilentUpstream = async () => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.resume();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        port: typeof address === "object" && address !== null ? address.port : 0,
        connections: () => sockets.size,
        [Symbol.asyncDispose]: async () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
};

test(
    "requests at a link that accepts connections and stays silent are served elsewhere, and few are sent there",
    async () => {
        const store = createTestStore();
        const configuration = createTestConfiguration(1, "k1");
        const routes = configuration.routes.map(
            route => ({ ...route, kind: "repeatable", maximumAttempts: 3 } as const),
        );
        store.write("configuration", JSON.stringify({ ...configuration, routes }));
        await using silent = await startSilentUpstream();
        await using first = await startLimitedUpstream(8, 20);
        await using second = await startLimitedUpstream(8, 20);
        [silent, first, second].forEach(({ port }, index) =>
            store.write(
                `upstreams/u-${index}`,
                JSON.stringify({ ...createStoredUpstream(`u-${index}`, port), slots: 8 }),
            )
        );
        const { host, callers } = await startTestHost(store, "host-0", [], { relays: true });
        await using _host = host;
        const answers: Promise<{ readonly status: number; readonly durationMs: number; }>[] = [];
        await actEveryMs(INTERVAL_MS, DURATION_MS, () => {
            const startedAtMs = performance.now();
            answers.push(
                sendTestRequest(callers, { path: "/orders/1", body: "{}" }).then(status => ({
                    status,
                    durationMs: performance.now() - startedAtMs,
                })),
            );
        });
        const ended = await Promise.all(answers);
        expect(new Set(ended.map(({ status }) => status))).toEqual(new Set([200]));
        expect(ended.filter(({ durationMs }) => durationMs > IN_TIME_MS)).toEqual([]);
        expect(silent.connections()).toBeLessThan(ended.length / 4);
    },
    60_000,
);
