import { createRandom, createResourceStack, createSystemClock, type HostId } from "@ibislanding/core";
import { createReportExchange } from "@ibislanding/discovery";
import assert from "node:assert/strict";
import { createReportAggregation } from "../src/createReportAggregation";
import { decodeHostReport } from "../src/decodeHostReport";
import type { HostReport } from "../src/hostReport";

const startHost = async (name: string) => {
    const hostId = `${name}.1` as HostId;
    const state = { admitted: 0, address: "" };
    let sequence = 0;
    const createReport = (): HostReport => ({
        hostId,
        hostName: name,
        address: state.address,
        collectorId: "",
        sequence: ++sequence,
        wallMs: 0,
        positions: {},
        isInContact: true,
        hostCount: 1,
        oldestMs: 0,
        loads: [],
        accounts: [["acme", state.admitted, 0]],
        levels: [],
        began: [],
        work: [],
        leaving: [],
        usageRecords: [],
        limits: [],
        versions: [],
        quarantine: { suspects: [], cleared: [], quarantined: [] },
    });
    const clock = createSystemClock();
    const exchange = (await createReportExchange<HostReport>({
        hostId,
        address: "127.0.0.1:0",
        group: "zone-a/0",
        clock,
        random: createRandom(name.length),
        intervalMs: 100,
        fanout: 2,
        createReport,
        aggregation: createReportAggregation(clock, hostId, createReport),
        decodeReport: decodeHostReport,
        onReport: () => undefined,
        onAnswer: () => undefined,
        onNotice: () => undefined,
        onStreamOrigin: () => undefined,
        findStreamOrigin: () => ({ origin: undefined, uptimeMs: 0, softwareVersions: [] }),
        documents: () => undefined,
        staleSets: () => [],
        fetchDelayMs: () => 0,
        onDocuments: () => undefined,
        onPeerReachabilityChange: () => undefined,
    })).unwrap();
    state.address = exchange.address;
    return { exchange, state };
};

type TestHost = Awaited<ReturnType<typeof startHost>>;

/** Units that all other hosts admitted, as a host knows them. */
const countOthers = ({ exchange }: TestHost): number =>
    [...exchange.reports().values()].reduce(
        (sum, { report }) => sum + report.accounts.reduce((units, [, entitled]) => units + entitled, 0),
        0,
    );

/** Starts hosts of one group, of which the first ones are preferred as collectors. */
const startGroup = async (hostCount: number): Promise<readonly TestHost[]> => {
    const hosts = await Promise.all(Array.from({ length: hostCount }, (_, index) => startHost(`host-${index}`)));
    // The hosts of a large zone are divided: a listed host may be in another group than the first.
    const peers = hosts.map(({ exchange }) => ({ address: exchange.address, group: "zone-a/1" }));
    hosts.forEach(({ exchange }) => exchange.setHosts(peers));
    return hosts;
};

/** Several times the backoff of a collector whose calls timed out, as they do on an overloaded machine. */
const GIVE_UP_MS = 60_000;

const until = async (condition: () => boolean): Promise<void> => {
    const giveUpAtMs = performance.now() + GIVE_UP_MS;
    while (!condition() && performance.now() < giveUpAtMs) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
};

test("in a large group each host knows the exact sum of all others, through one collector", async () => {
    const hosts = await startGroup(20);
    await using resources = createResourceStack();
    hosts.forEach(({ exchange }) => resources.use(exchange));
    hosts.forEach(({ state }, index) => {
        state.admitted = index + 1;
    });
    const total = hosts.reduce((sum, { state }) => sum + state.admitted, 0);
    const isSettled = (): boolean =>
        hosts.every(host => countOthers(host) === total - host.state.admitted)
        && hosts.filter(({ exchange }) => exchange.isRelayed()).length === hosts.length - 1;
    await until(isSettled);
    expect(hosts.map(countOthers)).toEqual(hosts.map(({ state }) => total - state.admitted));
    expect(hosts.filter(({ exchange }) => exchange.isRelayed())).toHaveLength(19);
}, 90_000);

test("after the loss of a collector its members use the next host, and nothing is lost or counted twice", async () => {
    const [first, ...others] = await startGroup(16);
    assert(first !== undefined);
    await using resources = createResourceStack();
    others.forEach(({ exchange }) => resources.use(exchange));
    const admitEach = (admitted: number): void =>
        others.forEach(({ state }) => {
            state.admitted = admitted;
        });
    admitEach(10);
    await until(() => others.every(host => countOthers(host) === 140));
    await first.exchange[Symbol.asyncDispose]();
    admitEach(11);
    await until(() => others.every(host => countOthers(host) === 154));
    expect(others.map(countOthers)).toEqual(others.map(() => 154));
}, 150_000);
