// Guards against requests that share one prompt part crashing upstream after upstream: every host attributed a crash to
// the upstream alone, so that the next host sent the next such request to the next upstream.
import { createResourceStack } from "@ibislanding/core";
import { request as sendRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createTestStore } from "./support/createTestStore";
import { type CrashRecords, startCrashingUpstream } from "./support/startCrashingUpstream";
import { createTestConfiguration, startTestHost } from "./support/startTestHost";

const HOSTS = 8;
const UPSTREAMS = 6;

/** From this time after the fifth crash on, at most three more such requests may reach upstreams. */
const CONTACT_MS = 4_000;
const CRASHES = 5;
const MAXIMUM_ARRIVALS = 3;

const CRASHING_INTERVAL_MS = 250;
const SOUND_INTERVAL_MS = 40;
const LOAD_MS = 11_000;

/** Long enough for no request to be refused because the machine of the test is busy. */
const OBJECTIVE_MS = 4_000;

const send = (port: number, parts: string): Promise<number> =>
    new Promise(resolve => {
        const outgoing = sendRequest({
            agent: false,
            host: "127.0.0.1",
            port,
            method: "POST",
            path: "/orders/1",
            headers: {
                "Host": "shop.example",
                "X-Request": `r${Math.random()}`,
                "X-Parts": parts,
                "Authorization": "k1",
            },
        }, response => {
            response.resume();
            response.on("error", () => undefined);
            response.on("close", () => resolve(response.complete ? response.statusCode ?? 0 : 0));
        });
        outgoing.on("error", () => resolve(0));
        outgoing.end("{}");
    });

const startGroup = async (records: CrashRecords) => {
    const resources = createResourceStack();
    const store = createTestStore();
    const configuration = createTestConfiguration(1, "k1");
    const routes = configuration.routes.map(route => ({ ...route, objectiveMs: OBJECTIVE_MS }));
    store.write("configuration", JSON.stringify({ ...configuration, routes }));
    const upstreams = await Promise.all(
        Array.from({ length: UPSTREAMS }, (_, index) => startCrashingUpstream(store, `u-${index}`, records)),
    );
    upstreams.forEach(upstream => resources.use(upstream));
    const hosts = [];
    for (let index = 0; index < HOSTS; index++) {
        const started = await startTestHost(store, `host-${index}`, hosts.map(({ peersAddress }) => peersAddress));
        resources.use(started.host);
        hosts.push(started);
    }
    await sleep(2_000);
    return { store, hosts, upstreams, [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose]() };
};

const everyMs = async (intervalMs: number, durationMs: number, act: (index: number) => void): Promise<void> => {
    const startedAtMs = performance.now();
    for (let index = 0; performance.now() - startedAtMs < durationMs; index++) {
        act(index);
        await sleep(intervalMs);
    }
};

test(
    "after five crashes under one prompt part, hosts send upstreams at most three more requests with it",
    async () => {
        const records: CrashRecords = { crashingPart: "bad", crashTimesMs: [], arrivalTimesMs: [] };
        await using group = await startGroup(records);
        const portOf = (index: number): number => group.hosts[index * 5 % HOSTS]?.callers ?? 0;
        const sound: Promise<number>[] = [];
        // Both kinds share the account and the first part.
        await Promise.all([
            everyMs(
                CRASHING_INTERVAL_MS,
                LOAD_MS,
                index => void send(portOf(index), `common,bad,own-${index}`),
            ),
            everyMs(
                SOUND_INTERVAL_MS,
                LOAD_MS,
                index => void sound.push(send(portOf(index), `common,sound-${index % 20},own-${index}`)),
            ),
        ]);
        const statuses = await Promise.all(sound);
        const refusals = group.hosts.flatMap(({ events }) =>
            events.filter(({ fields }) => fields["reason"] === "prompt_part_quarantined").map(({ fields }) =>
                fields["quarantinedPart"]
            )
        );
        const fifthAtMs = records.crashTimesMs[CRASHES - 1] ?? Infinity;
        expect(records.crashTimesMs.length).toBeGreaterThanOrEqual(3);
        expect(records.arrivalTimesMs.filter(atMs => atMs > fifthAtMs + CONTACT_MS).length).toBeLessThanOrEqual(
            MAXIMUM_ARRIVALS,
        );
        expect(new Set(refusals)).toEqual(new Set([records.crashingPart]));
        // Of the last seconds, in which such requests still come.
        const last = statuses.slice(-statuses.length / 4);
        expect(last.filter(status => status === 200).length / last.length).toBeGreaterThan(0.9);
    },
    60_000,
);
