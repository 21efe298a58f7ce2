import { createRandom, createResourceStack, createSystemClock, type HostId } from "@ibislanding/core";
import type { LoadNotice } from "@ibislanding/protocol";
import assert from "node:assert/strict";
import { createReportExchange, type DocumentSet } from "../src";
import { decodeReports } from "../src/reports/decodeReports";

interface TestReport {
    readonly hostId: HostId;
    readonly sequence: number;
    readonly revision: number;
}

const startHost = async (name: string, initial: DocumentSet | undefined, intervalMs = 30) => {
    let sequence = 0;
    let documents = initial;
    const notices: LoadNotice[] = [];
    const exchange = (await createReportExchange<TestReport>({
        hostId: name as HostId,
        address: "127.0.0.1:0",
        clock: createSystemClock(),
        random: createRandom(sequence + name.length),
        intervalMs,
        fanout: 3,
        createReport: () => ({ hostId: name as HostId, sequence: ++sequence, revision: documents?.revision ?? 0 }),
        decodeReport: text => JSON.parse(text) as TestReport,
        onReport: () => undefined,
        onNotice: notice => void notices.push(notice),
        documents: () => documents,
        staleSets: ({ revision }) => revision > (documents?.revision ?? 0) ? ["set"] : [],
        onDocuments: (_, received) => {
            documents = received;
        },
        onPeerReachabilityChange: () => undefined,
    })).unwrap();
    return { exchange, documents: () => documents, notices };
};

const until = async (condition: () => boolean): Promise<void> => {
    const giveUpAtMs = performance.now() + 15_000;
    while (!condition() && performance.now() < giveUpAtMs) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
};

test("a host without documents fetches them from a peer, and both receive the other's report", async () => {
    const documents = { revision: 7, entries: new Map([["k", { key: "k", value: "v", version: 7 }]]) };
    const informed = await startHost("knowing", documents);
    const empty = await startHost("cold", undefined);
    empty.exchange.setPeers([informed.exchange.address]);
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
    sender.exchange.setPeers([first.exchange.address, second.exchange.address]);
    const notice = { hostName: "sender", upstreamId: "u", running: 1, backlogTokens: 9_000, partIds: ["p", "q"] };
    sender.exchange.notify(notice);
    await until(() => first.notices.length + second.notices.length === 2);
    expect([first.notices, second.notices]).toEqual([[notice], [notice]]);
    await Promise.all([sender, first, second].map(({ exchange }) => exchange[Symbol.asyncDispose]()));
});

test("in a large group each host receives the reports of all others within a few rounds", async () => {
    // All hosts run in this process; with shorter rounds the test would depend on how many calls the process can make.
    const intervalMs = 250;
    const hosts = await Promise.all(
        Array.from({ length: 20 }, (_, index) => startHost(`host-${index}`, undefined, intervalMs)),
    );
    await using resources = createResourceStack();
    hosts.forEach(({ exchange }) => resources.use(exchange));
    const addresses = hosts.map(({ exchange }) => exchange.address);
    hosts.forEach(({ exchange }, index) => exchange.setPeers(addresses.filter((_, other) => other !== index)));
    await until(() => hosts.every(({ exchange }) => exchange.reports().size === hosts.length - 1));
    expect(hosts.map(({ exchange }) => exchange.reports().size)).toEqual(hosts.map(() => hosts.length - 1));
});

test("a notice is sent to a few peers of a large group, and unnotifiedShare is the fraction of the rest", async () => {
    const hosts = await Promise.all(
        Array.from({ length: 17 }, (_, index) => startHost(`host-${index}`, undefined, 60_000)),
    );
    await using resources = createResourceStack();
    hosts.forEach(({ exchange }) => resources.use(exchange));
    const [sender, ...others] = hosts;
    assert(sender !== undefined);
    sender.exchange.setPeers(others.slice(0, 12).map(({ exchange }) => exchange.address));
    expect(sender.exchange.unnotifiedShare()).toBe(0);
    sender.exchange.setPeers(others.map(({ exchange }) => exchange.address));
    expect(sender.exchange.unnotifiedShare()).toBeCloseTo(12 / 16);
    sender.exchange.notify({ hostName: "sender", upstreamId: "u", running: 1, backlogTokens: 9_000, partIds: ["p"] });
    const notifiedCount = () => others.filter(({ notices }) => notices.length > 0).length;
    await until(() => notifiedCount() === 4);
    expect(notifiedCount()).toBe(4);
});

test.each([Buffer.from("nothing"), Buffer.alloc(0)])(
    "decodeReports returns undefined for a malformed message",
    bytes => {
        expect(decodeReports(bytes)).toBeUndefined();
    },
);
