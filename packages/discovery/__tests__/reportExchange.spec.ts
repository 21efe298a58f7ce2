import { createRandom, createSystemClock, type HostId } from "@ibislanding/core";
import { createReportExchange, type DocumentSet } from "../src";

interface TestReport {
    readonly hostId: HostId;
    readonly sequence: number;
    readonly revision: number;
}

const startHost = async (name: string, initial: DocumentSet | undefined) => {
    let sequence = 0;
    let documents = initial;
    const exchange = (await createReportExchange<TestReport>({
        address: "127.0.0.1:0",
        clock: createSystemClock(),
        random: createRandom(sequence + name.length),
        intervalMs: 30,
        fanout: 3,
        createReport: () => ({ hostId: name as HostId, sequence: ++sequence, revision: documents?.revision ?? 0 }),
        decodeReport: text => JSON.parse(text) as TestReport,
        onReport: () => undefined,
        documents: () => documents,
        staleSets: ({ revision }) => revision > (documents?.revision ?? 0) ? ["set"] : [],
        onDocuments: (_, received) => {
            documents = received;
        },
        onPeer: () => undefined,
    })).unwrap();
    return { exchange, documents: () => documents };
};

const until = async (condition: () => boolean): Promise<void> => {
    const giveUpAtMs = performance.now() + 5_000;
    while (!condition() && performance.now() < giveUpAtMs) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
};

test("a host without documents gets them from a peer, and both know the other's report", async () => {
    const documents = { revision: 7, entries: new Map([["k", { key: "k", value: "v", version: 7 }]]) };
    const knowing = await startHost("knowing", documents);
    const cold = await startHost("cold", undefined);
    cold.exchange.setPeers([knowing.exchange.address]);
    await until(() => cold.documents() !== undefined && knowing.exchange.reports().size === 1);
    expect(cold.documents()?.revision).toBe(7);
    expect(cold.documents()?.entries.get("k")?.value).toBe("v");
    expect([...knowing.exchange.reports().keys()]).toEqual(["cold"]);
    expect([...cold.exchange.reports().keys()]).toEqual(["knowing"]);
    await cold.exchange[Symbol.asyncDispose]();
    await knowing.exchange[Symbol.asyncDispose]();
});
