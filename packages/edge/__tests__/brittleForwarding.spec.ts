// Guards against hosts without a slot of a brittle service that refuse all their requests while other hosts' slots are free.
import { actEveryMs } from "./support/actEveryMs";
import { pauseMs } from "./support/pauseMs";
import { sendTestRequest } from "./support/sendTestRequest";
import { startLimitedUpstream } from "./support/startLimitedUpstream";
import { startPacedTime } from "./support/startPacedTime";
import { startRelayGroup } from "./support/startRelayGroup";
import { createStoredUpstream } from "./support/startTestHost";

/** One more than in a small group, which forwards nothing, and more than the slots of the six upstreams. */
const HOSTS = 17;
const SLOTS = 2;
const WORK_MS = 100;
const REJECTIONS_PER_S = 2;
/** All hosts know of the statement, and the time in which few hosts send is over. */
const KNOWN_MS = 4_000;
const MEASURED_MS = 4_000;

test("a host without a slot of a brittle service serves its requests through hosts that have slots", async () => {
    await using _paced = startPacedTime();
    const upstreams: Awaited<ReturnType<typeof startLimitedUpstream>>[] = [];
    await using group = await startRelayGroup({
        hosts: HOSTS,
        behindForwarders: 0,
        route: { kind: "once", objectiveMs: 1_000, timeoutMs: 4_000 },
        startUpstream: async (store, index) => {
            const upstream = await startLimitedUpstream(SLOTS, WORK_MS);
            upstream.state.rejectionsPerS = REJECTIONS_PER_S;
            upstreams.push(upstream);
            const record = { ...createStoredUpstream(`u-${index}`, upstream.port), slots: SLOTS };
            store.write(`upstreams/u-${index}`, JSON.stringify(record));
            return upstream;
        },
    });
    const send = (index: number): Promise<number> =>
        sendTestRequest(group.hosts[index % HOSTS]?.callers ?? 0, { path: "/orders/1", body: "{}" });
    await actEveryMs(60, KNOWN_MS, index => void send(index));
    const statuses = group.hosts.map((): Promise<number>[] => []);
    await actEveryMs(60, MEASURED_MS, index => void statuses[index % HOSTS]?.push(send(index)));
    const answers = await Promise.all(statuses.map(sent => Promise.all(sent)));
    await pauseMs(WORK_MS);
    const forwarding = group.hosts.filter(({ events }) => events.some(({ event }) => event === "relay_ended"));
    expect(forwarding.length).toBeGreaterThanOrEqual(HOSTS - SLOTS * upstreams.length);
    const served = answers.flat().filter(status => status === 200).length;
    expect(served).toBeGreaterThan(answers.flat().length * 0.9);
    answers.forEach(sent => expect(sent.filter(status => status === 200).length).toBeGreaterThan(sent.length / 2));
    upstreams.forEach(({ rejectionTimesMs }) => expect(rejectionTimesMs).toEqual([]));
}, 300_000);
