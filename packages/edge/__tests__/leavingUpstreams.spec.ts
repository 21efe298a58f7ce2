// Guards against requests to an upstream later than the time within which its departure must be known everywhere, in a group that
// is large enough for collectors.
import { createResourceStack } from "@ibislanding/core";
import { createServer } from "node:http";
import { actEveryMs } from "./support/actEveryMs";
import { createTestStore } from "./support/createTestStore";
import { pauseMs } from "./support/pauseMs";
import { sendTestRequest } from "./support/sendTestRequest";
import { createStoredUpstream, createTestConfiguration, startTestHost } from "./support/startTestHost";

const HOSTS = 16;

/** The bound of the hosts that `startTestHost` starts. */
const IN_FORCE_MS = 2_500;

const startUpstream = async () => {
    const requestsAtMs: number[] = [];
    const server = createServer((request, response) => {
        requestsAtMs.push(performance.now());
        request.resume().on("end", () => response.end("done"));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        port: typeof address === "object" && address !== null ? address.port : 0,
        requestsAtMs,
        [Symbol.asyncDispose]: async () => {
            server.closeAllConnections();
            await new Promise(resolve => server.close(resolve));
        },
    };
};

/** Starts a large group before two upstreams, of which `leave` announces the departure of the first one. */
const startGroup = async () => {
    const resources = createResourceStack();
    const store = createTestStore();
    const leaving = resources.use(await startUpstream());
    const staying = resources.use(await startUpstream());
    const record = createStoredUpstream("u-1", leaving.port);
    store.write("configuration", JSON.stringify(createTestConfiguration(1, "k1")));
    store.write("upstreams/u-1", JSON.stringify(record));
    store.write("upstreams/u-2", JSON.stringify(createStoredUpstream("u-2", staying.port)));
    const first = await startTestHost(store, "host-0");
    const others = await Promise.all(
        Array.from(
            { length: HOSTS - 1 },
            (_, index) => startTestHost(store, `host-${index + 1}`, [first.peersAddress]),
        ),
    );
    const hosts = [first, ...others].map((host, index) => ({ ...host, name: `host-${index}` }));
    hosts.forEach(({ host }) => resources.use(host));
    /** Those that are preferred as collectors come first. */
    const ordered = [...hosts].sort((left, right) => left.peersAddress < right.peersAddress ? -1 : 1);
    return {
        store,
        hosts: ordered,
        leaving,
        leave: (): number => {
            store.write("upstreams/u-1", JSON.stringify({ ...record, isLeaving: true }));
            return performance.now();
        },
        /** Sends a request to each host but the first ones. */
        send: (skipped = 0) =>
            ordered.slice(skipped).forEach(({ callers }) =>
                void sendTestRequest(callers, { path: "/orders/1", body: "{}" })
            ),
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};

test(
    "no host sends to a leaving upstream after the bound, though waits for changes were lost while the store was silent",
    async () => {
        await using group = await startGroup();
        await actEveryMs(200, 3_000, () => group.send());
        expect(group.leaving.requestsAtMs.length).toBeGreaterThan(0);
        const endSilence = group.store.fallSilent();
        await pauseMs(1_500);
        endSilence();
        await pauseMs(1_000);
        const leftAtMs = group.leave();
        await actEveryMs(100, IN_FORCE_MS + 2_000, () => group.send());
        expect(group.leaving.requestsAtMs.filter(atMs => atMs - leftAtMs > IN_FORCE_MS)).toHaveLength(0);
    },
    60_000,
);

test(
    "no host sends to a leaving upstream after the bound, though its collector and the next ones end as it leaves",
    async () => {
        await using group = await startGroup();
        await actEveryMs(200, 3_000, () => group.send());
        const ended = Promise.all(group.hosts.slice(0, 3).map(({ host }) => host[Symbol.asyncDispose]()));
        const leftAtMs = group.leave();
        await actEveryMs(100, IN_FORCE_MS + 1_500, () => group.send());
        await ended;
        expect(group.leaving.requestsAtMs.filter(atMs => atMs - leftAtMs > IN_FORCE_MS)).toHaveLength(0);
    },
    60_000,
);

test(
    "hosts that reach the store send nothing to a leaving upstream after the bound, though their collectors do not reach it",
    async () => {
        await using group = await startGroup();
        await actEveryMs(200, 3_000, () => group.send());
        group.hosts.slice(0, 4).forEach(({ name }) => group.store.refused.add(name));
        const leftAtMs = group.leave();
        await actEveryMs(100, IN_FORCE_MS, () => group.send());
        await pauseMs(100);
        const before = group.leaving.requestsAtMs.length;
        await actEveryMs(100, 1_500, () => group.send(4));
        expect(performance.now() - leftAtMs).toBeGreaterThan(IN_FORCE_MS);
        expect(group.leaving.requestsAtMs.length).toBe(before);
    },
    60_000,
);
