// Guards against demand that is lost or counted twice on its way through collectors, against rows that can't be read and would
// make a sum wrong until a restart, and against reports that grow while no service is saturated.
import {
    type AccountId,
    createFakeClock,
    createRandom,
    type FakeClock,
    type HostId,
    type ServiceName,
} from "@ibislanding/core";
import { createMetricsRegistry } from "@ibislanding/runtime";
import { deflateRawSync } from "node:zlib";
import { createAdmission } from "../src/admission/createAdmission";
import { createReportAggregation } from "../src/createReportAggregation";
import type { HostReport } from "../src/hostReport";
import { toDemandRows } from "../src/toDemandRows";
import { createReportSource } from "./support/createReportSource";

type Demand = HostReport["demand"];

const createGroup = () => {
    const clock = createFakeClock(1_000_000);
    const members = ["a", "b", "c"].map(name => {
        const source = createReportSource(name, clock.wallMs);
        const state = { demand: undefined as Demand };
        const createReport = (): HostReport => ({ ...source.createReport(), demand: state.demand });
        return { ...source, state, aggregation: createReportAggregation(clock, source.hostId, createReport) };
    });
    const [collector] = members as [(typeof members)[number]];
    const exchange = (demands: readonly Demand[]): readonly Demand[] => {
        members.forEach(({ state, aggregation }, index) => {
            state.demand = demands[index];
            collector.aggregation.collect(aggregation.nextContribution(collector.name));
            aggregation.acknowledge(collector.name, collector.hostId);
        });
        const summary = collector.aggregation.summarize();
        return members.map(({ aggregation }) => aggregation.withoutOwn(summary).demand);
    };
    return { exchange };
};

const rows = (offered: number, sent: number): Demand => [["chat", 0, "acme", offered, sent]];

test("each host knows the demand of the others once, also after a time without saturation", () => {
    const { exchange } = createGroup();
    expect(exchange([undefined, undefined, undefined])).toEqual([undefined, undefined, undefined]);
    exchange([rows(10, 5), rows(20, 5), undefined]);
    expect(exchange([rows(20, 10), rows(40, 10), rows(1, 1)])).toEqual([rows(41, 11), rows(21, 11), rows(60, 20)]);
    expect(exchange([undefined, undefined, undefined])).toEqual([undefined, undefined, undefined]);
    expect(exchange([rows(30, 15), rows(40, 10), rows(1, 1)])[2]).toEqual(rows(70, 25));
});

test("rows that can't be read are left out of the sum", () => {
    const { exchange } = createGroup();
    const broken = [...rows(10, 5) ?? [], ["chat", 0, "acme", -7, 1], ["chat", 1, "acme", 1e300, 0], 5];
    expect(exchange([broken as unknown as Demand, rows(20, 5), undefined])[2]).toEqual(rows(30, 10));
    expect(exchange(["x" as unknown as Demand, rows(20, 5), undefined])[2]).toEqual(rows(30, 10));
});

const createHost = (clock: FakeClock, hostCount = 82) => {
    const metrics = createMetricsRegistry();
    const lines: Readonly<Record<string, unknown>>[] = [];
    const admission = createAdmission({
        clock,
        random: createRandom(1),
        log: {
            write: (event, fields) => void (event === "admission_level" && lines.push(fields ?? {})),
            droppedLines: () => 0,
        },
        metrics,
        hostCount: () => hostCount,
        isKnownService: service => service === ("chat" as ServiceName),
    });
    return { admission, metrics, lines };
};

// Guards against a level that only the hosts know that refuse requests themselves, and against a log line for each of its steps.
test("the demand that one host reports sets the level of another, which logs at most one line a second", async () => {
    const clock = createFakeClock();
    const [one, other] = [createHost(clock), createHost(clock)];
    const requestOf = (urgency: number) => ({
        service: "chat" as ServiceName,
        urgency,
        accountId: "acme" as AccountId,
        units: 1_000,
    });
    for (let step = 0; step < 40; step++) {
        await clock.advance(200);
        one.admission.level.recordSaturation("chat" as ServiceName);
        [0, 1, 2].forEach(urgency => one.admission.level.recordOffered(requestOf(urgency)));
        one.admission.level.recordFirstEvent(requestOf(0), 1);
        other.admission.level.recordFirstEvent({ ...requestOf(0), units: 1 }, 0.6);
        other.admission.observePeer("one" as HostId, toDemandRows(one.admission.level.rows()));
        other.admission.level.admits(requestOf(step % 3), () => 0);
    }
    expect(other.admission.level.levelOf("chat" as ServiceName)?.urgency).toBeLessThan(2);
    expect(other.admission.level.admits(requestOf(2), () => 0)).toBe(false);
    expect(other.lines.length).toBeGreaterThan(0);
    expect(other.lines.length).toBeLessThanOrEqual(8);
    expect(other.metrics.render()).toMatch(/ibis_admission_refusals_total\{[^}]*urgency="2"[^}]*\} [1-9]/);
    // Without saturation the rows end, and with them the level.
    await clock.advance(3_500);
    expect(one.admission.level.rows()).toEqual([]);
    expect(other.admission.level.admits(requestOf(2), () => 0)).toBe(true);
    expect(other.lines.at(-1)).toMatchObject({ isSaturated: false });
});

test("a host of a small group reports no demand and refuses nothing", async () => {
    const clock = createFakeClock();
    const { admission } = createHost(clock, 16);
    const request = { service: "chat" as ServiceName, urgency: 2, accountId: "acme" as AccountId, units: 1_000 };
    for (let step = 0; step < 20; step++) {
        await clock.advance(200);
        admission.level.recordSaturation(request.service);
        admission.level.recordOffered(request);
        admission.observePeer("peer" as HostId, rows(step * 1_000, 0));
        expect(admission.level.admits(request, () => 0)).toBe(true);
    }
    expect(toDemandRows(admission.level.rows())).toBeUndefined();
});

test("rows that can't be read or are of an unknown service are counted, and nothing else is lost", () => {
    const { admission, metrics } = createHost(createFakeClock());
    admission.observePeer("peer" as HostId, [["chat", 0, "acme", 1, 1], ["other", 0, "acme", 1, 1], [
        "chat",
        0,
        "acme",
        -1,
        1,
    ]]);
    admission.observePeer("peer" as HostId, {} as unknown as Demand);
    expect(metrics.render()).toContain("ibis_demand_rows_invalid_total 3");
});

test("the demand of 16 accounts at 3 urgencies adds at most 700 bytes to a report, and nothing without saturation", () => {
    const random = createRandom(1);
    const { createReport } = createReportSource("front-a-1", () => 1);
    const sizeOf = (demand: Demand): number =>
        deflateRawSync(JSON.stringify([{ text: JSON.stringify({ ...createReport(), demand }) }])).length;
    const demand = Array.from({ length: 48 }, (_, index) => {
        const offered = random.nextInt(5_000_000);
        const accountId = `account-${Math.floor(index / 3)}`;
        return ["chat", index % 3, accountId, offered, Math.floor(offered / 2)] as const;
    });
    const without = sizeOf(undefined);
    expect(JSON.stringify({ demand: undefined })).toBe("{}");
    const added = sizeOf(demand) - without;
    if (process.env["DEMAND_BYTES"] !== undefined) {
        process.stdout.write(`${added} bytes\n`);
    }
    expect(added).toBeLessThanOrEqual(700);
});
