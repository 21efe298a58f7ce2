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
}

/** For small groups, in which nothing is collected. */
const createTestAggregation = (createReport: () => TestReport): ReportAggregation<TestReport> => ({
    nextContribution: createReport,
    acknowledge: () => undefined,
    withdraw: () => undefined,
    collect: () => undefined,
    summarize: createReport,
    withoutOwn: summary => summary,
});

const startHost = async (name: string, initial: DocumentSet | undefined, intervalMs = 30) => {
    let sequence = 0;
    let documents = initial;
    const notices: LoadNotice[] = [];
    const created: { address: string; } = { address: "" };
    const createReport = (): TestReport => ({
        hostId: name as HostId,
        sequence: ++sequence,
        address: created.address,
        isInContact: true,
        revision: documents?.revision ?? 0,
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
        onAnswer: () => undefined,
        onNotice: notice => void notices.push(notice),
        onStreamOrigin: () => undefined,
        findStreamOrigin: () => ({ origin: undefined, uptimeMs: 0, softwareVersions: [] }),
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
        setPeers: (addresses: readonly string[]) =>
            exchange.setHosts(addresses.map(address => ({ address, group: "group-0" }))),
    };
};

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
