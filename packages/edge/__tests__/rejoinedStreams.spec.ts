// Guards against streams that clients take up after all hosts have restarted at once, and that are continued by another
// version than the one that began them: hosts that had just started took the only registered version for the only one that
// there had been.
import { createResourceStack } from "@ibislanding/core";
import { setTimeout as sleep } from "node:timers/promises";
import { createStreamConfiguration } from "./support/createStreamConfiguration";
import { createTestStore } from "./support/createTestStore";
import { readStream } from "./support/readStream";
import { startTestHost } from "./support/startTestHost";
import { startVersionedUpstream } from "./support/startVersionedUpstream";

const HOSTS = 4;
const STREAMS = 24;
const STREAM_INTERVAL_MS = 40;
const EVENTS_BEFORE_LEAVING = 3;
const INTRODUCTION_MS = 2_000;

/** Time in which the hosts write the versions that they have seen to the store. */
const STORED_WITHIN_MS = 3_000;

const NOT_RUN = 503;

const inSequence = <T>(act: (index: number) => Promise<T>): Promise<T[]> =>
    Promise.all(Array.from({ length: STREAMS }, async (_, index) => {
        await sleep(index * STREAM_INTERVAL_MS);
        return act(index);
    }));

type Store = ReturnType<typeof createTestStore>;

type Host = Awaited<ReturnType<typeof startTestHost>>;

/** Starts hosts, at the addresses of those that were there before. */
const startHosts = async (store: Store, before: readonly Host[] = []) => {
    const resources = createResourceStack();
    const hosts: Host[] = [];
    for (let index = 0; index < HOSTS; index++) {
        const seeds = hosts.map(({ peersAddress }) => peersAddress);
        const started = await startTestHost(store, `host-${index}`, seeds, { ports: before[index]?.ports });
        resources.use(started.host);
        hosts.push(started);
    }
    await sleep(INTRODUCTION_MS);
    return {
        hosts,
        portOf: (index: number): number => hosts[index % HOSTS]?.callers ?? 0,
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};

/** Begins streams, loses all hosts, changes the upstreams meanwhile, and takes the streams up at hosts that start then. */
const takeUpAfterRestart = async (store: Store, change: () => Promise<void>) => {
    const begin = async () => {
        await using group = await startHosts(store);
        await sleep(STORED_WITHIN_MS);
        const streams = await inSequence(index =>
            readStream(group.portOf(index), { requestId: `r${index}`, leavesAfter: EVENTS_BEFORE_LEAVING })
        );
        return { streams, hosts: group.hosts };
    };
    const { streams: begun, hosts } = await begin();
    await change();
    await using group = await startHosts(store, hosts);
    const takenUp = await inSequence(index =>
        readStream(group.portOf(index), {
            requestId: `again${index}`,
            headers: { "X-Resumes": `r${index}`, "Last-Event-Id": String(begun[index]?.lastEventId) },
        })
    );
    return takenUp.map((stream, index) => ({
        status: stream.status,
        lastEventId: stream.lastEventId,
        versions: new Set([...begun[index]?.versions ?? [], ...stream.versions]).size,
    }));
};

test("no stream is continued by the version that is left after all hosts and the old upstreams are gone", async () => {
    await using resources = createResourceStack();
    const store = createTestStore();
    store.write("configuration", JSON.stringify(createStreamConfiguration()));
    resources.use(await startVersionedUpstream(store, "u-0", "v1", () => false));
    const streams = await takeUpAfterRestart(store, async () => {
        resources.use(await startVersionedUpstream(store, "u-1", "v2", () => false));
        store.remove("upstreams/u-0");
    });
    expect(streams.filter(({ versions }) => versions > 1)).toEqual([]);
    expect(streams.map(({ status }) => status)).toEqual(streams.map(() => NOT_RUN));
}, 40_000);

test("streams are continued after all hosts have restarted if there has been one version only", async () => {
    await using resources = createResourceStack();
    const store = createTestStore();
    store.write("configuration", JSON.stringify(createStreamConfiguration()));
    const upstream = resources.use(await startVersionedUpstream(store, "u-0", "v1", () => false));
    const streams = await takeUpAfterRestart(store, async () => undefined);
    expect(streams.map(({ lastEventId }) => lastEventId)).toEqual(streams.map(() => upstream.events));
}, 40_000);
