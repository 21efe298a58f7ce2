import { createRandom, createResourceStack, createSystemClock, type HostId } from "@ibislanding/core";
import type { LoadNotice } from "@ibislanding/protocol";
import assert from "node:assert/strict";
import { createReportExchange, type DocumentSet, type ReportAggregation } from "../src";
import { decodeReports } from "../src/reports/decodeReports";

interface TestReport {
    readonly hostId: HostId;
    readonly sequence: number;
    readonly address: string;
    readonly isInContact: boolean;
    readonly revision: number;
    /** Requests counted since the start, or since the last acknowledged contribution. */
    readonly count: number;
    /** Hosts whose counts are included. */
    readonly hosts: readonly string[];
}

/** Sums counts, with the acknowledged ones left out of the next contribution. */
const createTestAggregation = (createReport: () => TestReport): ReportAggregation<TestReport> => {
    const members = new Set<string>();
    const ownCounts = new Map<HostId, number>();
    let acknowledged = 0;
    let collected = 0;
    return {
        nextContribution: () => {
            const report = createReport();
            return { ...report, count: report.count - acknowledged };
        },
        acknowledge: ({ count }, collectorId) => {
            acknowledged += count;
            ownCounts.set(collectorId, (ownCounts.get(collectorId) ?? 0) + count);
        },
        collect: ({ hostId, count }) => {
            members.add(hostId);
            collected += count;
        },
        summarize: () => ({ ...createReport(), count: collected, hosts: [...members] }),
        withoutOwn: summary => ({ ...summary, count: summary.count - (ownCounts.get(summary.hostId) ?? 0) }),
    };
};

const startHost = async (name: string, initial: DocumentSet | undefined, intervalMs = 30) => {
    let sequence = 0;
    let documents = initial;
    const state = { count: 0 };
    const notices: LoadNotice[] = [];
    const created: { address: string; } = { address: "" };
    const createReport = (): TestReport => ({
        hostId: name as HostId,
        sequence: ++sequence,
        address: created.address,
        isInContact: true,
        revision: documents?.revision ?? 0,
        count: state.count,
        hosts: [name],
    });
    const exchange = (await createReportExchange<TestReport>({
        hostId: name as HostId,
        address: "127.0.0.1:0",
        group: "group-0",
        clock: createSystemClock(),
        random: createRandom(sequence + name.length),
        intervalMs,
        fanout: 3,
        createReport,
        aggregation: createTestAggregation(createReport),
        decodeReport: text => JSON.parse(text) as TestReport,
        onReport: () => undefined,
        onNotice: notice => void notices.push(notice),
        documents: () => documents,
        staleSets: ({ revision }) => revision > (documents?.revision ?? 0) ? ["set"] : [],
        fetchDelayMs: () => 0,
        onDocuments: (_, received) => {
            documents = received;
        },
        onPeerReachabilityChange: () => undefined,
    })).unwrap();
    created.address = exchange.address;
    return {
        exchange,
        documents: () => documents,
        notices,
        state,
        setPeers: (addresses: readonly string[]) =>
            exchange.setHosts(addresses.map(address => ({ address, group: "group-0" }))),
    };
};

/** Requests of all other hosts, as a host knows them. */
const countOthers = ({ exchange }: Awaited<ReturnType<typeof startHost>>): number =>
    [...exchange.reports().values()].reduce((sum, { report }) => sum + report.count, 0);

const until = async (condition: () => boolean): Promise<void> => {
    const giveUpAtMs = performance.now() + 20_000;
    while (!condition() && performance.now() < giveUpAtMs) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
};

test("a host without documents fetches them from a peer, and both receive the other's report", async () => {
    const documents = { epoch: 1, revision: 7, entries: new Map([["k", { key: "k", value: "v", version: 7 }]]) };
    const informed = await startHost("knowing", documents);
    const empty = await startHost("cold", undefined);
    empty.setPeers([informed.exchange.address]);
    await until(() => empty.documents() !== undefined && informed.exchange.reports().size === 1);
    expect(empty.documents()?.revision).toBe(7);
    expect(empty.documents()?.entries.get("k")?.value).toBe("v");
    expect([...informed.exchange.reports().keys()]).toEqual(["cold"]);
    expect([...empty.exchange.reports().keys()]).toEqual(["knowing"]);
    await empty.exchange[Symbol.asyncDispose]();
    await informed.exchange[Symbol.asyncDispose]();
});

test("a placement notice is sent to all peers immediately, without waiting for a round", async () => {
    const [sender, first, second] = await Promise.all(
        ["sender", "first", "second"].map(name => startHost(name, undefined, 60_000)),
    );
    assert(sender !== undefined && first !== undefined && second !== undefined);
    sender.setPeers([first.exchange.address, second.exchange.address]);
    const notice = { hostName: "sender", upstreamId: "u", running: 1, backlogTokens: 9_000, partIds: ["p", "q"] };
    sender.exchange.notify(notice);
    await until(() => first.notices.length + second.notices.length === 2);
    expect([first.notices, second.notices]).toEqual([[notice], [notice]]);
    await Promise.all([sender, first, second].map(({ exchange }) => exchange[Symbol.asyncDispose]()));
});

/** Starts hosts of one group, of which the first ones are preferred as collectors. */
const startLargeGroup = async (hostCount: number) => {
    const hosts = await Promise.all(
        Array.from({ length: hostCount }, (_, index) => startHost(`host-${index}`, undefined)),
    );
    const addresses = hosts.map(({ exchange }) => exchange.address);
    hosts.forEach(({ setPeers }) => setPeers(addresses));
    return hosts;
};

test("in a large group each host knows the sum of all others, through one collector", async () => {
    const hosts = await startLargeGroup(20);
    await using resources = createResourceStack();
    hosts.forEach(({ exchange }) => resources.use(exchange));
    hosts.forEach(({ state }, index) => {
        state.count = index + 1;
    });
    const total = hosts.reduce((sum, { state }) => sum + state.count, 0);
    const isComplete = (): boolean => hosts.every(host => countOthers(host) === total - host.state.count);
    await until(isComplete);
    expect(hosts.map(countOthers)).toEqual(hosts.map(({ state }) => total - state.count));
    expect(hosts.filter(({ exchange }) => exchange.isRepresentative())).toHaveLength(1);
    expect(hosts.filter(({ exchange }) => exchange.isRelayed())).toHaveLength(19);
    expect(hosts.map(({ exchange }) => exchange.reports().size)).toEqual(hosts.map(() => 1));
}, 30_000);

test(
    "after the loss of a collector its members use the next host, and counts are neither lost nor doubled",
    async () => {
        const [first, ...others] = await startLargeGroup(16);
        assert(first !== undefined);
        await using resources = createResourceStack();
        others.forEach(({ exchange }) => resources.use(exchange));
        others.forEach(({ state }) => {
            state.count = 10;
        });
        await until(() => others.every(host => countOthers(host) === 140));
        await first.exchange[Symbol.asyncDispose]();
        others.forEach(({ state }) => {
            state.count = 11;
        });
        await until(() => others.every(host => countOthers(host) === 154));
        expect(others.map(countOthers)).toEqual(others.map(() => 154));
    },
    40_000,
);

test("documents reach all members of a large group through their collector", async () => {
    const hosts = await startLargeGroup(14);
    await using resources = createResourceStack();
    hosts.forEach(({ exchange }) => resources.use(exchange));
    const informed = await startHost("informed", {
        epoch: 1,
        revision: 7,
        entries: new Map([["k", { key: "k", value: "v", version: 7 }]]),
    });
    resources.use(informed.exchange);
    informed.setPeers(hosts.map(({ exchange }) => exchange.address));
    await until(() => hosts.every(({ documents }) => documents()?.revision === 7));
    expect(hosts.map(({ documents }) => documents()?.entries.get("k")?.value)).toEqual(hosts.map(() => "v"));
}, 30_000);

test("notices are sent in a small group only, and unnotifiedShare states it", async () => {
    const hosts = await Promise.all(
        Array.from({ length: 17 }, (_, index) => startHost(`host-${index}`, undefined, 60_000)),
    );
    await using resources = createResourceStack();
    hosts.forEach(({ exchange }) => resources.use(exchange));
    const [sender, ...others] = hosts;
    assert(sender !== undefined);
    const notice = { hostName: "sender", upstreamId: "u", running: 1, backlogTokens: 9_000, partIds: ["p"] };
    const notifiedCount = () => others.filter(({ notices }) => notices.length > 0).length;
    sender.setPeers(others.map(({ exchange }) => exchange.address));
    expect(sender.exchange.unnotifiedShare()).toBe(1);
    sender.exchange.notify(notice);
    sender.setPeers(others.slice(0, 12).map(({ exchange }) => exchange.address));
    expect(sender.exchange.unnotifiedShare()).toBe(0);
    sender.exchange.notify(notice);
    await until(() => notifiedCount() === 12);
    expect(notifiedCount()).toBe(12);
    expect(others.flatMap(({ notices }) => notices)).toHaveLength(12);
});

test.each([Buffer.from("nothing"), Buffer.alloc(0)])(
    "decodeReports returns undefined for a malformed message",
    bytes => {
        expect(decodeReports(bytes)).toBeUndefined();
    },
);
