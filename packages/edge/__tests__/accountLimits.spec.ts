import { type AccountId, createFakeClock, createRandom, type FakeClock, type HostId } from "@ibislanding/core";
import { type ClientAccount, createAccountMeter } from "@ibislanding/gateway";
import { createReportAggregation } from "../src/createReportAggregation";
import type { HostReport } from "../src/hostReport";

const account: ClientAccount = {
    accountId: "acme" as AccountId,
    apiKeys: [],
    priority: undefined,
    unit: "tokens",
    plainTokens: 200,
    ratePerS: 60_000,
    burst: 60_000,
};

const WINDOW_MS = 8_000;
const SLACK_UNITS = 110_000;
const TOLERATED_UNITS = SLACK_UNITS / 2;

/** The platform's bound on an account's units in any window. */
const MAXIMUM_EXCESS = 1.1;
const MAXIMUM_WINDOW_UNITS = (account.ratePerS * WINDOW_MS / 1_000 + account.burst) * MAXIMUM_EXCESS + SLACK_UNITS;
const COLLECTORS = 6;
const INTERVAL_MS = 650;
const OFFERED_MS = 30_000;

/** Sizes of requests, from long prompts to plain requests. */
const UNITS = [9_360, 2_450, 1_000, 200, 200];
const MEAN_UNITS = UNITS.reduce((sum, units) => sum + units, 0) / UNITS.length;

const createHost = (clock: FakeClock, name: string) => {
    const hostId = `${name}.1` as HostId;
    const meter = createAccountMeter(clock, {
        windowMs: WINDOW_MS,
        toleratedUnits: TOLERATED_UNITS,
        peerTimeoutMs: () => INTERVAL_MS * 4.5,
    });
    let sequence = 0;
    const createReport = (): HostReport => {
        const usages = [...meter.usages()];
        return {
            hostId,
            hostName: name,
            address: name,
            collectorId: "",
            sequence: ++sequence,
            wallMs: 0,
            positions: {},
            isInContact: true,
            hostCount: 1,
            oldestMs: 0,
            loads: [],
            accounts: usages.map(([id, { entitled, spare }]) => [id, entitled, spare] as const),
            levels: usages.flatMap(([id, { level }]) => level === undefined ? [] : [[id, level] as const]),
            began: [],
            work: [],
            leaving: [],
            usageRecords: [],
            limits: [],
            versions: [],
            quarantine: { suspects: [], cleared: [], quarantined: [] },
        };
    };
    const aggregation = createReportAggregation(clock, hostId, createReport);
    return {
        hostId,
        name,
        meter,
        aggregation,
        apply: (summary: HostReport): void => {
            const { hostName, hostId: collectorId, accounts, levels, hostCount } = aggregation.withoutOwn(summary);
            const levelById = new Map(levels);
            const usages = accounts.map(([id, entitled, spare]) =>
                [id as AccountId, { entitled, spare, level: levelById.get(id) }] as const
            );
            meter.observePeer(hostName, collectorId, new Map(usages), hostCount);
        },
    };
};

/** Starts hosts that report to collectors and receive their summaries, each at its own times. */
const startGroup = async (clock: FakeClock, hostCount: number) => {
    const random = createRandom(5);
    const hosts = Array.from({ length: hostCount }, (_, index) => createHost(clock, `host-${index}`));
    const collectors = hosts.slice(0, COLLECTORS);
    const received = new Map(collectors.map(({ hostId }) => [hostId, new Map<HostId, HostReport>()]));
    const every = (act: () => void): void => {
        act();
        clock.setTimer(INTERVAL_MS * (0.75 + random.nextFloat() / 2), () => every(act));
    };
    hosts.forEach((host, index) => {
        const collector = collectors[index % COLLECTORS] as (typeof hosts)[number];
        clock.setTimer(random.nextFloat() * INTERVAL_MS, () =>
            every(() => {
                collector.aggregation.collect(host.aggregation.nextContribution(collector.name));
                host.aggregation.acknowledge(collector.name, collector.hostId);
                host.apply(collector.aggregation.summarize());
                received.get(collector.hostId)?.forEach(host.apply);
            }));
    });
    collectors.forEach(collector =>
        every(() =>
            collectors.filter(other => other !== collector).forEach(other =>
                received.get(other.hostId)?.set(collector.hostId, collector.aggregation.summarize())
            )
        )
    );
    await clock.advance(WINDOW_MS * 2);
    return { hosts, random };
};

/** Offers requests at a multiple of the account's rate to random hosts. */
const offer = async (hostCount: number, load: number) => {
    const clock = createFakeClock(1_000_000);
    const { hosts, random } = await startGroup(clock, hostCount);
    const startedAtMs = clock.monotonicMs();
    const meanGapMs = MEAN_UNITS / (account.ratePerS * load) * 1_000;
    const totals = { offered: 0, refused: 0, admitted: [] as { readonly atMs: number; readonly units: number; }[] };
    while (clock.monotonicMs() - startedAtMs < OFFERED_MS) {
        await clock.advance(-Math.log(1 - random.nextFloat()) * meanGapMs);
        const units = UNITS[random.nextInt(UNITS.length)] ?? 0;
        const admission = hosts[random.nextInt(hostCount)]?.meter.admit(account, units);
        totals.offered++;
        if (admission?.kind === "over") {
            totals.refused++;
        }
        else {
            totals.admitted.push({ atMs: clock.monotonicMs(), units });
        }
    }
    return totals;
};

test("at 60 hosts, an account at four fifths of its limit is not refused", async () => {
    const { offered, refused } = await offer(60, 0.8);
    expect(offered).toBeGreaterThan(400);
    expect(refused).toBe(0);
}, 60_000);

test(
    "at 60 hosts, an account that sends twice its limit gets its limit, and no window has more than is permitted",
    async () => {
        const { admitted } = await offer(60, 2);
        const sum = (from: number, to: number): number =>
            admitted.filter(({ atMs }) => atMs >= from && atMs < to).reduce((total, { units }) => total + units, 0);
        expect(sum(0, Infinity)).toBeGreaterThan(account.ratePerS * OFFERED_MS / 1_000 * 0.9);
        const windows = admitted.map(({ atMs }) => sum(atMs, atMs + WINDOW_MS));
        expect(Math.max(...windows)).toBeLessThan(MAXIMUM_WINDOW_UNITS);
    },
    60_000,
);
