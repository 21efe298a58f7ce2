// Guards against upstreams that get more requests than the limit that they state for all hosts together: nothing read
// the limit, and a share of it on each host would exceed it by one request a host.
import { createResourceStack } from "@ibislanding/core";
import { request as sendRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createTestStore } from "./support/createTestStore";
import { startLimitedUpstream } from "./support/startLimitedUpstream";
import { createStoredUpstream, createTestConfiguration, startTestHost } from "./support/startTestHost";

const HOSTS = 8;
const UPSTREAMS = 3;
const LIMITED = 2;
const LIMIT_PER_S = 1;

/** From this time after the first statement on, a window may contain one and a half times the limit and five more. */
const CONTACT_MS = 4_000;
const WINDOW_MS = 4_000;
const MAXIMUM_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5;

/** Long enough for no request to be refused because the machine of the test is busy. */
const OBJECTIVE_MS = 4_000;

const INTERVAL_MS = 20;
const LIMITED_MS = 14_000;

const send = (port: number): Promise<number> =>
    new Promise(resolve => {
        const outgoing = sendRequest({
            agent: false,
            host: "127.0.0.1",
            port,
            method: "POST",
            path: "/orders/1",
            headers: { "Host": "shop.example", "X-Request": `r${Math.random()}`, "Authorization": "k1" },
        }, response => {
            response.resume();
            response.on("close", () => resolve(response.statusCode ?? 0));
        });
        outgoing.on("error", () => resolve(0));
        outgoing.end("{}");
    });

const mostInWindow = (timesMs: readonly number[], fromMs: number): number => {
    const later = timesMs.filter(atMs => atMs >= fromMs);
    return Math.max(
        0,
        ...later.map(startMs => later.filter(atMs => atMs >= startMs && atMs < startMs + WINDOW_MS).length),
    );
};

test("all hosts together send an upstream no more requests than the limit that it states", async () => {
    await using resources = createResourceStack();
    const store = createTestStore();
    const configuration = createTestConfiguration(1, "k1");
    const routes = configuration.routes.map(route => ({ ...route, objectiveMs: OBJECTIVE_MS }));
    store.write("configuration", JSON.stringify({ ...configuration, routes }));
    const upstreams = await Promise.all(Array.from({ length: UPSTREAMS }, () => startLimitedUpstream()));
    upstreams.forEach((upstream, index) => {
        resources.use(upstream);
        const record = { ...createStoredUpstream(`u-${index}`, upstream.port), slots: 64 };
        store.write(`upstreams/u-${index}`, JSON.stringify(record));
    });
    const hosts: Awaited<ReturnType<typeof startTestHost>>[] = [];
    for (let index = 0; index < HOSTS; index++) {
        const host = await startTestHost(store, `host-${index}`, hosts.map(({ peersAddress }) => peersAddress));
        resources.use(host.host);
        hosts.push(host);
    }
    await sleep(1_500);
    const limited = upstreams.slice(0, LIMITED);
    const statuses: Promise<number>[] = [];
    const sendFor = async (durationMs: number): Promise<void> => {
        const startedAtMs = performance.now();
        for (let index = 0; performance.now() - startedAtMs < durationMs; index++) {
            statuses.push(send(hosts[index * 5 % HOSTS]?.callers ?? 0));
            await sleep(INTERVAL_MS);
        }
    };
    await sendFor(1_000);
    limited.forEach(({ state }) => {
        state.limitPerS = LIMIT_PER_S;
    });
    const statedAtMs = performance.now();
    await sendFor(LIMITED_MS);
    limited.forEach(({ arrivalTimesMs }) => {
        expect(mostInWindow(arrivalTimesMs, statedAtMs + CONTACT_MS)).toBeLessThanOrEqual(MAXIMUM_IN_WINDOW);
    });
    // Callers don't notice: the other upstreams have room.
    expect(new Set(await Promise.all(statuses))).toEqual(new Set([200]));
    const refusals = hosts.flatMap(({ events }) =>
        events.filter(({ event, fields }) => event === "request_ended" && fields["outcome"] !== "answered")
    );
    expect(refusals.map(({ fields }) => fields)).toEqual([]);
}, 60_000);
