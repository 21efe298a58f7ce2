import { type AccountId, type Clock, createFakeClock, createRandom, type HostId } from "@ibislanding/core";
import { type ClientAccount, createAccountMeter } from "@ibislanding/gateway";
import { createReportAggregation } from "../../src/createReportAggregation";
import type { HostReport } from "../../src/hostReport";

/** Load of one account, in units; the rate may be changed for a period. */
export interface AccountLoad {
    readonly account: ClientAccount;
    readonly unitsPerS: (atMs: number) => number;
}

export interface ReplayOptions {
    readonly hostCount: number;
    readonly loads: readonly AccountLoad[];
    readonly durationMs: number;
    /** Time for which the hosts run before the load begins. */
    readonly leadMs: number;
    /** Whether other hosts know the address of a host, so that it may be selected as collector. */
    readonly isRegistered: (host: number, atMs: number) => boolean;
    /** Times at which the process of a host is replaced by another. */
    readonly restarts: readonly (readonly [host: number, atMs: number])[];
    /** Additional delay of a summary on its way to another zone. */
    readonly summaryDelayMs: readonly [minimum: number, maximum: number];
    readonly seed: number;
    /** Sizes of requests, each as frequent as the others. */
    readonly sizes?: readonly number[];
    /** Load of a zone relative to its usual one. */
    readonly zoneFactor?: (zone: number, atMs: number) => number;
}

export interface ReplayedRequest {
    readonly atMs: number;
    readonly accountId: AccountId;
    readonly host: number;
    readonly units: number;
    readonly kind: "entitled" | "spare" | "over";
}

const WINDOW_MS = 8_000;
const TOLERATED_UNITS = 55_000;
const ZONES = 6;
const ROUND_MS = 650;
const PEER_TIMEOUT_MS = 2_925;
const SUMMARY_REUSE_MS = 100;
const MAXIMUM_SUMMARY_AGE_MS = 2_000;
const STEP_MS = 5;
const UNITS = [600, 600, 1_200, 2_400, 4_800, 9_300];

type Meter = ReturnType<typeof createAccountMeter>;

/** Up to this number, hosts report to each other directly, to two peers in each round. */
const MAXIMUM_DIRECT_HOSTS = 13;
const DIRECT_ROUND_MS = 300;
const DIRECT_TIMEOUT_MS = 1_575;
const FANOUT = 2;

const createProcess = (clock: Clock, name: string, hostId: HostId, peerTimeoutMs: number) => {
    const meter: Meter = createAccountMeter(clock, {
        windowMs: WINDOW_MS,
        toleratedUnits: TOLERATED_UNITS,
        peerTimeoutMs: () => peerTimeoutMs,
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
            accounts: usages.map(([id, { entitled, spare, refused = 0 }]) =>
                refused > 0 ? [id, entitled, spare, refused] as const : [id, entitled, spare] as const
            ),
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
    const received = new Map<HostId, { readonly report: HostReport; readonly createdAtMs: number; }>();
    let summary: { readonly report: HostReport; readonly createdAtMs: number; } | undefined;
    return {
        hostId,
        meter,
        aggregation,
        report: () => ({ report: createReport(), createdAtMs: clock.monotonicMs() }),
        summarize: () => {
            if (summary === undefined || clock.monotonicMs() - summary.createdAtMs >= SUMMARY_REUSE_MS) {
                summary = { report: aggregation.summarize(), createdAtMs: clock.monotonicMs() };
            }
            return summary;
        },
        receive: (envelope: { readonly report: HostReport; readonly createdAtMs: number; }, isOwn = false): void => {
            const { report } = envelope;
            if (
                report.hostId === hostId !== isOwn
                || (received.get(report.hostId)?.report.sequence ?? 0) >= report.sequence
            ) {
                return;
            }
            received.set(report.hostId, envelope);
            const { hostName, hostId: collectorId, accounts, levels, hostCount } = aggregation.withoutOwn(report);
            const levelById = new Map(levels);
            const usages = accounts.map(([id, entitled, spare, refused = 0]) =>
                [id as AccountId, { entitled, spare, refused, level: levelById.get(id) }] as const
            );
            meter.observePeer(
                hostName,
                collectorId,
                new Map(usages),
                hostCount,
                clock.monotonicMs() - envelope.createdAtMs,
            );
        },
        recent: () =>
            [...received.values()].filter(({ report, createdAtMs }) =>
                report.hostId !== hostId && clock.monotonicMs() - createdAtMs < MAXIMUM_SUMMARY_AGE_MS
            ),
    };
};

/**
 * Replays the load of accounts at a large group of hosts without a network: members contribute to the first registered
 * host of their zone, and collectors exchange summaries that arrive late. Hosts and zones have unequal shares of the load.
 */
export const replayAccountLoad = (options: ReplayOptions) => {
    const random = createRandom(options.seed);
    let nowMs = 0;
    const clock: Clock = { ...createFakeClock(), monotonicMs: () => nowMs };
    const isDirect = options.hostCount <= MAXIMUM_DIRECT_HOSTS;
    const roundMs = isDirect ? DIRECT_ROUND_MS : ROUND_MS;
    const timeoutMs = isDirect ? DIRECT_TIMEOUT_MS : PEER_TIMEOUT_MS;
    const hosts = Array.from({ length: options.hostCount }, (_, index) => ({
        index,
        zone: index % ZONES,
        order: random.nextFloat(),
        weight: (0.32 + random.nextFloat()) * (index % ZONES < 2 ? 2 : 1),
        dueAtMs: random.nextFloat() * roundMs,
        lastCollectedAtMs: -Infinity,
        process: createProcess(clock, `host-${index}`, `host-${index}.0` as HostId, timeoutMs),
    }));
    type Host = (typeof hosts)[number];
    const { sizes = UNITS, zoneFactor = () => 1 } = options;
    const meanUnits = sizes.reduce((sum, units) => sum + units, 0) / sizes.length;
    const zones = Array.from(
        { length: ZONES },
        (_, zone) => hosts.filter(host => host.zone === zone).sort((left, right) => left.order - right.order),
    );
    const deliveries: { readonly atMs: number; readonly act: () => void; }[] = [];
    const restarts = [...options.restarts];
    const requests: ReplayedRequest[] = [];

    const collectorOf = (zone: number): Host | undefined =>
        zones[zone]?.find(({ index }) => options.isRegistered(index, nowMs - options.leadMs)) ?? zones[zone]?.[0];

    const pickHost = (): Host => {
        const factors = zones.map((_, zone) => zoneFactor(zone, nowMs - options.leadMs));
        const weightOf = ({ weight, zone }: Host): number => weight * (factors[zone] ?? 1);
        let rest = random.nextFloat() * hosts.reduce((sum, host) => sum + weightOf(host), 0);
        return hosts.find(host => (rest -= weightOf(host)) < 0) ?? hosts[0] as Host;
    };

    const collect = (collector: Host, member: Host): void => {
        const address = `host-${collector.index}`;
        collector.lastCollectedAtMs = nowMs;
        collector.process.aggregation.collect(member.process.aggregation.nextContribution(address));
        member.process.aggregation.acknowledge(address, collector.process.hostId);
        if (member === collector) {
            member.process.receive(member.process.summarize(), true);
            return;
        }
        [collector.process.summarize(), ...collector.process.recent()].forEach(envelope =>
            member.process.receive(envelope)
        );
    };

    const runDirectRound = (host: Host): void =>
        Array.from({ length: FANOUT }, () => hosts[random.nextInt(hosts.length)] as Host).forEach(({ process }) => {
            process.receive(host.process.report());
            host.process.receive(process.report());
        });

    const runRound = (host: Host): void => {
        if (isDirect) {
            runDirectRound(host);
            return;
        }
        collect(collectorOf(host.zone) ?? host, host);
        if (nowMs - host.lastCollectedAtMs >= 2_000) {
            return;
        }
        zones.forEach((_, zone) => {
            const other = collectorOf(zone);
            if (zone !== host.zone && other !== undefined) {
                const [minimum, maximum] = options.summaryDelayMs;
                const { process } = host;
                const summary = process.summarize();
                deliveries.push({
                    atMs: nowMs + minimum + random.nextFloat() * (maximum - minimum),
                    act: () => other.process.receive(summary),
                });
            }
        });
    };

    const offer = ({ account, unitsPerS }: AccountLoad): void => {
        const atMs = nowMs - options.leadMs;
        const expected = unitsPerS(atMs) / meanUnits * STEP_MS / 1_000;
        for (let rest = -Math.log(1 - random.nextFloat()); rest < expected; rest -= Math.log(1 - random.nextFloat())) {
            const units = sizes[random.nextInt(sizes.length)] ?? 0;
            const host = pickHost();
            const { kind } = host.process.meter.admit(account, units);
            requests.push({ atMs, accountId: account.accountId, host: host.index, units, kind });
        }
    };

    while (nowMs < options.leadMs + options.durationMs) {
        restarts.filter(([, atMs]) => atMs + options.leadMs <= nowMs).forEach(restart => {
            restarts.splice(restarts.indexOf(restart), 1);
            const host = hosts[restart[0]] as Host;
            host.process = createProcess(
                clock,
                `host-${host.index}`,
                `host-${host.index}.${nowMs}` as HostId,
                timeoutMs,
            );
            host.lastCollectedAtMs = -Infinity;
        });
        deliveries.filter(({ atMs }) => atMs <= nowMs).forEach(delivery => {
            deliveries.splice(deliveries.indexOf(delivery), 1);
            delivery.act();
        });
        hosts.filter(({ dueAtMs }) => dueAtMs <= nowMs).forEach(host => {
            runRound(host);
            host.dueAtMs = nowMs + roundMs * (0.75 + random.nextFloat() / 2);
        });
        if (nowMs >= options.leadMs) {
            options.loads.forEach(offer);
        }
        nowMs += STEP_MS;
    }
    return requests;
};
