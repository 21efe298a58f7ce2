// Guards against evidence that is lost or counted twice on its way through collectors, and against reports that grow with a
// rollout by more than the network of a small host has room for.
import {
    createFakeClock,
    createHasher,
    createRandom,
    type HostId,
    type ServiceName,
    type SoftwareVersion,
} from "@ibislanding/core";
import { judgeVersion } from "@ibislanding/rollouts";
import { createMetricsRegistry } from "@ibislanding/runtime";
import { deflateRawSync } from "node:zlib";
import { Ok } from "ts-results";
import { createReportAggregation } from "../src/createReportAggregation";
import type { EdgeOptions } from "../src/edgeOptions";
import type { EdgeSettings } from "../src/edgeSettings";
import type { HostReport } from "../src/hostReport";
import { createRolloutEvidence } from "../src/rollouts/createRolloutEvidence";
import { createRollouts } from "../src/rollouts/createRollouts";
import { createReportSource } from "./support/createReportSource";

const SERVICE = "orders" as ServiceName;
const [V1, V2] = ["2026.11.3", "2026.12.0"].map(version => version as SoftwareVersion) as [
    SoftwareVersion,
    SoftwareVersion,
];
const ROUTES = ["orders-read", "orders-write", "orders-stream"];

type Versions = HostReport["versions"];

const createRows = (requests: number): Versions => {
    const random = createRandom(requests);
    return [V1, V2].flatMap(version =>
        ROUTES.map(route => {
            const sent = requests + random.nextInt(requests);
            return [SERVICE, version, route, sent, sent - 3, random.nextInt(5), random.nextInt(9), sent - 2] as const;
        })
    );
};

test("each host knows the counters of all others once, and those of a host that is gone", () => {
    const clock = createFakeClock();
    const sources = ["a", "b", "c"].map(name => createReportSource(name, clock.wallMs));
    const [collector, ...members] = sources.map(source => ({
        ...source,
        aggregation: createReportAggregation(clock, source.hostId, source.createReport),
        evidence: createRolloutEvidence(clock, () => source.state.versions),
    }));
    if (collector === undefined) {
        throw new Error("a collector is needed");
    }
    const exchange = (sent: number): void => {
        [collector, ...members].forEach(({ state, aggregation }) => {
            state.versions = [[SERVICE, V1, "r", sent, sent, 0, 0, sent - 1], [SERVICE, V1, "", 2, 0, 0, 0, 1]];
            collector.aggregation.collect(aggregation.nextContribution(collector.name));
            aggregation.acknowledge(collector.name, collector.hostId);
        });
        const summary = collector.aggregation.summarize();
        [collector, ...members].forEach(({ aggregation, evidence }) =>
            evidence.observePeer(collector.hostId, aggregation.withoutOwn(summary).versions)
        );
    };
    exchange(10);
    exchange(25);
    [collector, ...members].forEach(({ evidence }) => {
        expect(evidence.evidenceOf(SERVICE)).toEqual([
            { service: SERVICE, version: V1, route: "r", sent: 75, answers: 75, failures: 0, slow: 0 },
        ]);
        // One counted request runs at each host, and one from before counting began.
        expect(evidence.runningExcept(SERVICE, V2)).toBe(6);
        expect(evidence.runningExcept(SERVICE, V1)).toBe(0);
    });
});

test.each([[8, 300], [65, 2_400], [195, 7_200]])(
    "the counters of a rollout on three routes add at most 160 bytes to a report of %i hosts",
    (_, requests) => {
        const { state, createReport } = createReportSource("front-a-1", () => 1);
        const sizeOf = (): number => deflateRawSync(JSON.stringify([{ text: JSON.stringify(createReport()) }])).length;
        const withoutRollout = sizeOf();
        state.versions = createRows(requests);
        const addedBytes = sizeOf() - withoutRollout;
        expect(addedBytes).toBeGreaterThan(0);
        expect(addedBytes).toBeLessThanOrEqual(160);
    },
);

test("evidence that has shown that a target is bad is kept until another order", async () => {
    const clock = createFakeClock();
    await using rollouts = createRollouts({
        clock,
        nowMs: clock.wallMs,
        log: { write: () => undefined, droppedLines: () => 0 },
        metrics: createMetricsRegistry(),
        hasher: await createHasher(),
        settings: { hostId: "a.1" } as EdgeSettings,
        bounds: { exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5_000 },
        upstreams: { records: () => [], isDeparting: () => false, isLeaving: () => false, hasCrashed: () => false },
        isFollowing: () => true,
        documents: {
            ownPrefix: "own/",
            rollouts: {
                ordersPrefix: "orders/",
                decodeOrder: () => Ok({ service: SERVICE, target: V2, durationMs: 10_000 }),
            },
        } as unknown as EdgeOptions["documents"],
    });
    const observeOrder = (version: number): void => {
        const key = `orders/${SERVICE}`;
        rollouts.registry.observeOrders({
            epoch: 1,
            revision: version,
            entries: new Map([[key, { key, value: "", version }]]),
        });
    };
    const verdict = () => judgeVersion(V2, rollouts.evidenceOf(SERVICE)).kind;
    const observe = async (failedShare: number): Promise<void> => {
        for (const round of [1, 2, 3, 4, 5]) {
            const counts = (version: SoftwareVersion, sent: number, failed: number) =>
                [SERVICE, version, "r", sent, sent, failed, 0, sent] as const;
            const target = counts(V2, round * 8, Math.round(round * 8 * failedShare));
            rollouts.observePeer("b.1" as HostId, [counts(V1, round * 60, 0), target]);
            await clock.advance(600);
        }
    };
    observeOrder(1);
    await observe(0.5);
    expect(verdict()).toBe("bad");
    await observe(0);
    expect(verdict()).toBe("bad");
    observeOrder(2);
    expect(verdict()).not.toBe("bad");
});
