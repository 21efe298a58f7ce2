import { createFakeClock, createRandom, type HostId } from "@ibislanding/core";
import type { ReportAggregation } from "@ibislanding/discovery";
import { assignPeerGroups } from "../src/assignPeerGroups";
import { countRows } from "../src/countRows";
import { createReportAggregation } from "../src/createReportAggregation";
import { decodeHostReport } from "../src/decodeHostReport";
import type { HostReport } from "../src/hostReport";
import { createReportSource } from "./support/createReportSource";

/** Hosts with one collector; each round, every host contributes and receives the collector's summary. */
const createGroup = (hostCount: number) => {
    const clock = createFakeClock(1_000_000);
    const hosts = Array.from({ length: hostCount }, (_, index) => {
        const source = createReportSource(`host-${index}`, clock.wallMs);
        return { ...source, aggregation: createReportAggregation(clock, source.hostId, source.createReport) };
    });
    const contribute = (from: ReportAggregation<HostReport>, collector: (typeof hosts)[number]): void => {
        collector.aggregation.collect(from.nextContribution(collector.name));
        from.acknowledge(collector.name, collector.hostId);
    };
    return { clock, hosts, contribute };
};

const admittedIn = ({ accounts }: HostReport): number => accounts.find(([id]) => id === "acme")?.[1] ?? 0;

test.each([8, 30, 195])("with %i hosts, each knows the exact sum of all others from one summary", hostCount => {
    const { hosts, contribute } = createGroup(hostCount);
    const [collector] = hosts;
    const random = createRandom(3);
    for (const _ of Array.from({ length: 5 })) {
        hosts.forEach(({ state, aggregation }) => {
            state.admitted += random.nextInt(10);
            state.began = state.admitted;
            state.running = random.nextInt(3);
            contribute(aggregation, collector as (typeof hosts)[number]);
        });
    }
    const summary = collector?.aggregation.summarize() as HostReport;
    const sum = (measure: (host: (typeof hosts)[number]) => number): number =>
        hosts.reduce((total, host) => total + measure(host), 0);
    hosts.forEach(host => {
        const others = host.aggregation.withoutOwn(summary);
        expect(admittedIn(others)).toBe(sum(({ state }) => state.admitted) - host.state.admitted);
        expect(others.began[0]?.[2] ?? 0).toBe(sum(({ state }) => state.began) - host.state.began);
        expect(others.loads[0]?.[1] ?? 0).toBe(sum(({ state }) => state.running) - host.state.running);
        expect(others.hostCount).toBe(hostCount - 1);
    });
    expect(summary.leaving).toEqual([["engine-9", 7]]);
    // The state and the messages depend on upstreams and accounts, not on the number of hosts.
    expect(JSON.stringify(summary).length).toBeLessThan(600);
});

test("a host that changes its collector is counted once", () => {
    const { hosts, contribute } = createGroup(4);
    const [first, second, member, observer] = hosts;
    if (first === undefined || second === undefined || member === undefined || observer === undefined) {
        throw new Error("four hosts are needed");
    }
    member.state.admitted = 10;
    contribute(member.aggregation, first);
    member.state.admitted = 15;
    contribute(member.aggregation, second);
    const admitted = [first, second].map(({ aggregation }) =>
        admittedIn(observer.aggregation.withoutOwn(aggregation.summarize()))
    );
    expect(admitted).toEqual([10, 5]);
    const seenByMember = [first, second].map(({ aggregation }) =>
        admittedIn(member.aggregation.withoutOwn(aggregation.summarize()))
    );
    expect(seenByMember).toEqual([0, 0]);
});

const createPair = () => {
    const { hosts, contribute, clock } = createGroup(3);
    const [collector, member, other] = hosts;
    if (collector === undefined || member === undefined || other === undefined) {
        throw new Error("three hosts are needed");
    }
    return { clock, collector, member, other, contribute };
};

test("a contribution whose response was lost counts once when it is sent again", () => {
    const { collector, member, contribute } = createPair();
    member.state.admitted = 10;
    const lost = member.aggregation.nextContribution(collector.name);
    collector.aggregation.collect(lost);
    collector.aggregation.collect(lost);
    member.state.admitted = 12;
    contribute(member.aggregation, collector);
    expect(admittedIn(collector.aggregation.summarize())).toBe(12);
    expect(admittedIn(member.aggregation.withoutOwn(collector.aggregation.summarize()))).toBe(0);
});

test("what may have reached a collector is not assigned to another, what can't have reached it is", () => {
    const { collector, member, other, contribute } = createPair();
    member.state.admitted = 10;
    collector.aggregation.collect(member.aggregation.nextContribution(collector.name));
    member.state.admitted = 15;
    contribute(member.aggregation, other);
    const admitted = () => [collector, other].map(({ aggregation }) => admittedIn(aggregation.summarize()));
    expect(admitted()).toEqual([10, 5]);
    member.state.admitted = 18;
    member.aggregation.nextContribution(collector.name);
    member.aggregation.withdraw(collector.name);
    contribute(member.aggregation, other);
    expect(admitted()).toEqual([10, 8]);
});

test("after a restart of the collector its members contribute what the old process did not acknowledge", () => {
    const { clock, collector, member, contribute } = createPair();
    member.state.admitted = 10;
    contribute(member.aggregation, collector);
    member.state.admitted = 14;
    member.aggregation.nextContribution(collector.name);
    const source = createReportSource(collector.name, clock.wallMs);
    const restarted = createReportAggregation(clock, "host-0.2" as HostId, source.createReport);
    const exchange = (): void => {
        restarted.collect(member.aggregation.nextContribution(collector.name));
        member.aggregation.acknowledge(collector.name, "host-0.2" as HostId);
    };
    exchange();
    expect(admittedIn(restarted.summarize())).toBe(0);
    exchange();
    expect(admittedIn(restarted.summarize())).toBe(4);
});

test("a refund does not count as usage", () => {
    const { collector, member, contribute } = createPair();
    [10, 7, 12].forEach(admitted => {
        member.state.admitted = admitted;
        contribute(member.aggregation, collector);
    });
    expect(admittedIn(collector.aggregation.summarize())).toBe(12);
});

test("hosts that reach no upstream are in their collector's summary until they do, and add no byte otherwise", () => {
    const { createReport, hostId } = createReportSource("host-1", () => 0);
    const collector = createReportSource("host-2", () => 0);
    const aggregation = createReportAggregation(createFakeClock(), collector.hostId, collector.createReport);
    aggregation.collect({ ...createReport(), cutOff: [[hostId, "orders", 0]] });
    expect(decodeHostReport(JSON.stringify(aggregation.summarize()))?.cutOff).toEqual([[hostId, "orders", 0]]);
    aggregation.collect(createReport());
    expect(JSON.stringify(aggregation.summarize())).not.toContain("cutOff");
});

test("a member that its collector has forgotten is not counted again", async () => {
    const { clock, collector, member, contribute } = createPair();
    member.state.admitted = 10;
    contribute(member.aggregation, collector);
    await clock.advance(600_000);
    collector.aggregation.summarize();
    contribute(member.aggregation, collector);
    expect(admittedIn(collector.aggregation.summarize())).toBe(10);
});

test("the load of a silent member is dropped, its usage stays", async () => {
    const { clock, hosts, contribute } = createGroup(2);
    const [collector, member] = hosts;
    if (collector === undefined || member === undefined) {
        throw new Error("two hosts are needed");
    }
    member.state.admitted = 10;
    member.state.running = 2;
    contribute(member.aggregation, collector);
    await clock.advance(1_000);
    expect(collector.aggregation.summarize()).toMatchObject({
        hostCount: 1,
        oldestMs: 1_000,
        loads: [["engine-1", 2, 2_000]],
    });
    await clock.advance(1_000);
    const summary = collector.aggregation.summarize();
    expect(summary).toMatchObject({ hostCount: 0, loads: [] });
    expect(admittedIn(summary)).toBe(10);
});

test("the wall clock of a summary is the median of its members' clocks", () => {
    const { clock, hosts, contribute } = createGroup(5);
    const collector = hosts[0] as (typeof hosts)[number];
    hosts.forEach(({ aggregation }) => contribute(aggregation, collector));
    const jumped = createReportSource("jumped", () => clock.wallMs() + 60_000);
    contribute(createReportAggregation(clock, jumped.hostId, jumped.createReport), collector);
    expect(collector.aggregation.summarize().wallMs).toBe(clock.wallMs());
});

test("rows are added and subtracted by their keys, and never fall below 0", () => {
    const rows = countRows.add(1, [[["a", 1, 2]], [["a", 3, 0], ["b", 1, 1]]]);
    expect(rows).toEqual([["a", 4, 2], ["b", 1, 1]]);
    expect(countRows.subtract(1, rows, [["a", 9, 1], ["b", 1, 1], ["c", 5, 5]])).toEqual([["a", 0, 1]]);
    expect(countRows.distinct(1, [[["a", 1]], [["a", 2], ["b", 3]]])).toEqual(
        expect.arrayContaining([["a", 1], ["b", 3]]),
    );
});

test("hosts are grouped by availability zone, the most capable ones first, and large zones are divided", () => {
    const host = (index: number, availabilityZone: string, cores: number) => ({
        address: `10.0.0.${String(index).padStart(3, "0")}:1`,
        availabilityZone,
        cores,
    });
    const groups = assignPeerGroups([host(1, "a", 0.3), host(2, "a", 1.3), host(3, "b", 0.3)]);
    expect(groups.map(({ address, group }) => [address, group])).toEqual([
        ["10.0.0.002:1", "a/0"],
        ["10.0.0.001:1", "a/0"],
        ["10.0.0.003:1", "b/0"],
    ]);
    const large = assignPeerGroups(Array.from({ length: 130 }, (_, index) => host(index, "a", 1)));
    expect(new Set(large.map(({ group }) => group)).size).toBe(3);
});

test.each([
    "",
    "null",
    "[]",
    "{}",
    JSON.stringify({ ...createReportSource("a", () => 1).createReport(), positions: null }),
    JSON.stringify({ ...createReportSource("a", () => 1).createReport(), positions: { upstreams: 4 } }),
    JSON.stringify({ ...createReportSource("a", () => 1).createReport(), leaving: undefined }),
])("a malformed report is not decoded: %s", text => {
    expect(decodeHostReport(text)).toBeUndefined();
});
