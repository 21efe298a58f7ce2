// Guards against failed first tries at hosts that callers reach but that reach no upstream: connections that are refused or
// hang, kept-alive ones included, must be noticed within a second, and the requests be served through a peer, each run once.
// Time is paced: on a busy machine, more streams would be running at the cut than the retry budget covers.
import { actEveryMs } from "./support/actEveryMs";
import { pauseMs } from "./support/pauseMs";
import { readStream } from "./support/readStream";
import { sendTestRequest } from "./support/sendTestRequest";
import { startPacedTime } from "./support/startPacedTime";
import { startRelayGroup } from "./support/startRelayGroup";
import { startVersionedUpstream } from "./support/startVersionedUpstream";

const NOTICE_MS = 1_000;

/** Usage of a window is reported within five seconds. */
const USAGE_WAIT_MS = 100;
const USAGE_WAITS = 70;

const ROUTE = { kind: "repeatable", objectiveMs: 1_000, timeoutMs: 4_000, maximumAttempts: 2 } as const;

type Group = Awaited<ReturnType<typeof startRelayGroup>>;

/** Sends requests to each host at an interval for a time; returns the statuses of each host. */
const sendLoad = async ({ hosts }: Group, intervalMs: number, durationMs: number): Promise<number[][]> => {
    const statuses: Promise<number>[][] = hosts.map(() => []);
    await actEveryMs(
        intervalMs,
        durationMs,
        () =>
            hosts.forEach(({ callers }, index) =>
                statuses[index]?.push(sendTestRequest(callers, { path: "/orders/1", body: "{}" }))
            ),
    );
    return Promise.all(statuses.map(sent => Promise.all(sent)));
};

const servedShare = (statuses: readonly number[][]): number => {
    const all = statuses.flat();
    return all.filter(status => status === 200).length / all.length;
};

const eventsOf = ({ hosts }: Group, name: string) =>
    hosts.flatMap(({ events }) => events.filter(({ event }) => event === name));

test(
    "four hosts of ten that are cut off serve first tries as often as the others from a second after the cut",
    async () => {
        await using _paced = startPacedTime();
        await using group = await startRelayGroup({ hosts: 10, behindForwarders: 4, route: ROUTE });
        await sendLoad(group, 100, 800);
        await Promise.all(group.forwarders.map(forwarder => forwarder.hang()));
        void sendLoad(group, 100, NOTICE_MS);
        await pauseMs(NOTICE_MS);
        const statuses = await sendLoad(group, 100, 2_500);
        const [cutOff, others] = [servedShare(statuses.slice(0, 4)), servedShare(statuses.slice(4))];
        expect(others).toBeGreaterThan(0.95);
        expect(cutOff).toBeGreaterThanOrEqual(others * 2 / 3);
        expect(Math.max(...group.runs.values())).toBeLessThanOrEqual(2);
        expect(eventsOf(group, "upstreams_unreachable").length).toBe(4);
        expect(eventsOf(group, "request_accused")).toEqual([]);
        group.forwarders.forEach(forwarder => forwarder.resume());
        await pauseMs(NOTICE_MS);
        expect(eventsOf(group, "upstreams_reached").length).toBe(4);
        expect(servedShare(await sendLoad(group, 100, 500))).toBeGreaterThan(0.95);
    },
    240_000,
);

test.each(["refuse", "reset"] as const)(
    "requests that must not be repeated run once at most and their refusals are true (%s)",
    async mode => {
        await using _paced = startPacedTime();
        await using group = await startRelayGroup({
            hosts: 3,
            behindForwarders: 1,
            route: { ...ROUTE, kind: "once" },
        });
        const sent: Promise<readonly [string, number]>[] = [];
        const send = (index: number): void => {
            const id = `once-${mode}-${index}`;
            sent.push(
                sendTestRequest(group.hosts[0]?.callers ?? 0, {
                    path: "/orders/1",
                    body: "{}",
                    headers: { "X-Request": id },
                }).then(status => [id, status] as const),
            );
        };
        setTimeout(() => group.forwarders[0]?.[mode](), 500);
        await actEveryMs(20, 2_000, send);
        const results = await Promise.all(sent);
        const runsOf = (id: string): number => group.runs.get(id) ?? 0;
        expect(results.filter(([id]) => runsOf(id) > 1)).toEqual([]);
        expect(results.filter(([id, status]) => status === 503 && runsOf(id) > 0)).toEqual([]);
        expect(results.filter(([, status]) => status === 200).length).toBeGreaterThan(results.length * 0.9);
        expect(eventsOf(group, "request_accused")).toEqual([]);
        // Each answered request counts once in the usage counts, at the host where it ran.
        const answered = results.filter(([, status]) => status === 200).length;
        const counted = (): number =>
            group.hosts.flatMap(({ reports }) => reports).reduce((sum, { requests }) => sum + requests, 0);
        for (let waits = 0; counted() < answered && waits < USAGE_WAITS; waits++) {
            await pauseMs(USAGE_WAIT_MS);
        }
        expect(counted()).toBe(answered);
    },
    240_000,
);

test("nothing is relayed round when all upstreams are down, and hosts stay ready", async () => {
    await using _paced = startPacedTime();
    await using group = await startRelayGroup({ hosts: 4, behindForwarders: 0, route: ROUTE });
    await group.stopUpstreams();
    await sendLoad(group, 100, NOTICE_MS);
    const relaysBefore = eventsOf(group, "relay_ended").length;
    const statuses = await sendLoad(group, 100, 1_000);
    expect(new Set(statuses.flat())).toEqual(new Set([503]));
    expect(eventsOf(group, "relay_ended").length).toBe(relaysBefore);
    expect((await fetch(`http://127.0.0.1:${group.hosts[0]?.readiness}/`)).status).toBe(200);
}, 240_000);

test("a host without a peer that helps is not ready and refuses with 503", async () => {
    await using _paced = startPacedTime();
    await using group = await startRelayGroup({ hosts: 2, behindForwarders: 1, route: ROUTE });
    group.forwarders[0]?.reset();
    await sendLoad(group, 100, 500);
    const peer = group.hosts[1];
    expect(await sendTestRequest(group.hosts[0]?.callers ?? 0, { path: "/orders/1", body: "{}" })).toBe(200);
    await peer?.host[Symbol.asyncDispose]();
    const refused = await sendTestRequest(group.hosts[0]?.callers ?? 0, { path: "/orders/1", body: "{}" });
    expect(refused).toBe(503);
    expect((await fetch(`http://127.0.0.1:${group.hosts[0]?.readiness}/`)).status).toBe(503);
}, 240_000);

test("a relayed request is charged to its account once", async () => {
    // The rate permits the 25 requests a second once. A second charge at the peers would refuse more than a fourth of the requests.
    await using _paced = startPacedTime();
    await using group = await startRelayGroup({ hosts: 3, behindForwarders: 1, route: ROUTE, ratePerS: 26, burst: 30 });
    group.forwarders[0]?.reset();
    const { callers = 0 } = group.hosts[0] ?? {};
    const sendFor = async (durationMs: number): Promise<readonly number[]> => {
        const sent: Promise<number>[] = [];
        await actEveryMs(
            40,
            durationMs,
            () => void sent.push(sendTestRequest(callers, { path: "/orders/1", body: "{}" })),
        );
        return Promise.all(sent);
    };
    // Requests before the host has noticed the cut may fail; the first test bounds how long that takes.
    const unnoticed = await sendFor(NOTICE_MS);
    const statuses = await sendFor(2_400);
    expect(statuses.length).toBeGreaterThan(45);
    expect([...unnoticed, ...statuses].filter(status => status === 429)).toEqual([]);
    expect(statuses.filter(status => status === 200).length).toBeGreaterThan(statuses.length * 0.9);
}, 240_000);

test("streams of before the cut go on at a peer, at the version that began them", async () => {
    await using _paced = startPacedTime();
    await using group = await startRelayGroup({
        hosts: 3,
        behindForwarders: 1,
        route: { ...ROUTE, kind: "stream", isResumable: true, maximumAttempts: 3 },
        startUpstream: (store, index) =>
            startVersionedUpstream(store, `u-${index}`, index % 2 === 0 ? "v1" : "v2", () => false),
    });
    setTimeout(() => group.forwarders[0]?.reset(), 600);
    const reads: ReturnType<typeof readStream>[] = [];
    await actEveryMs(
        50,
        1_200,
        index => reads.push(readStream(group.hosts[0]?.callers ?? 0, { requestId: `s${index}` })),
    );
    const streams = await Promise.all(reads);
    expect(streams.filter(({ versions }) => versions.size > 1)).toEqual([]);
    expect(streams.filter(({ lastEventId }) => lastEventId === 8).length).toBeGreaterThan(streams.length * 0.8);
    expect(eventsOf(group, "relay_ended").length).toBeGreaterThan(0);
}, 240_000);
