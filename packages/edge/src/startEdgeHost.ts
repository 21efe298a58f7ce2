import type { ServiceName, UpstreamId } from "@ibislanding/core";
import { createHasher, createResourceStack, FailureError } from "@ibislanding/core";
import { createReportExchange, createTrueTime, type ReportExchange } from "@ibislanding/discovery";
import { createUsageCounts } from "@ibislanding/duties";
import {
    createAccountMeter,
    createGateway,
    createRetryBudget,
    createUpstreamTable,
    type UpstreamRecord,
} from "@ibislanding/gateway";
import { applyHostReport } from "./applyHostReport";
import { createEdgeDuties } from "./createEdgeDuties";
import { createGatewayEvents } from "./createGatewayEvents";
import { createKnowledge } from "./createKnowledge";
import { createReportSource } from "./createReportSource";
import { createWorkMeter } from "./createWorkMeter";
import { decodeHostReport } from "./decodeHostReport";
import type { EdgeHost } from "./edgeHost";
import type { EdgeOptions } from "./edgeOptions";
import type { HostParts } from "./hostParts";
import type { HostReport } from "./hostReport";
import { registerHost } from "./registerHost";
import { startHostListeners } from "./startHostListeners";
import { watchSuspensions } from "./watchSuspensions";

/** Interval of reports: placements and limits act on what peers did up to two intervals ago. */
const REPORT_INTERVAL_MS = 300;

/** Peers called in a round; each pair of a small group then exchanges reports a few times a second. */
const REPORT_FANOUT = 2;

/** A peer counts as silent when nothing was heard of it for this many times the time that news takes, at least. */
const SILENCE_FACTOR = 3;
const LEAST_SILENCE_MS = 1_500;

/** A peer that reported within this time counts as live, unless news takes longer. */
const LEAST_LIVE_MS = 2_000;

/** Hosts that contend for the duties. */
const CONTENDERS = 4;

/** Part of the permitted excess that is granted on purpose; reports that come late take the rest. */
const ACCOUNT_SLACK_SHARE = 0.5;

/** Part of the grace after which no request is in hand any more, however long it takes. */
const STOP_SHARE = 0.95;

/** Time for which new requests are still forwarded while stopping: callers move away within it. */
const STOP_ACCEPT_MS = 2_600;

/** Time for which the listener stays open while stopping: the balancer takes two misses to notice. */
const STOP_LISTEN_MS = 3_000;

const STOP_POLL_MS = 50;

/** Starts all parts of a host; resolves when its listeners are open. */
export const startEdgeHost = async (options: EdgeOptions): Promise<EdgeHost> => {
    const { settings, clock, random, log, metrics } = options;
    const resources = createResourceStack();
    const hasher = await createHasher();
    const time = createTrueTime(clock);
    const usage = createUsageCounts(settings.usage.windowMs, time.nowMs);
    const peers: { exchange?: ReportExchange<HostReport>; } = {};
    const silenceMs = (): number => Math.max(LEAST_SILENCE_MS, SILENCE_FACTOR * (peers.exchange?.typicalAgeMs() ?? 0));
    const accounts = createAccountMeter(clock, {
        peerTimeoutMs: silenceMs,
        windowMs: settings.accountLimits.windowMs,
        toleratedUnits: settings.accountLimits.slackUnits * ACCOUNT_SLACK_SHARE,
    });
    const work = createWorkMeter(clock);
    const stopped = new AbortController();
    const addresses = new Set(settings.seedAddresses);
    let isStopping = false;

    const updatePeers = (): void =>
        peers.exchange?.setPeers([...addresses].filter(address => address !== settings.listen.peers));

    const foundAtMs = new Map<ServiceName, number>();
    const replaceUpstreams = (records: readonly UpstreamRecord[]): void => {
        records.filter(({ service }) => !foundAtMs.has(service)).forEach(({ service }) =>
            foundAtMs.set(service, clock.monotonicMs())
        );
        upstreams.replace(records);
    };
    const knowledge = createKnowledge(options, replaceUpstreams, hosts => {
        hosts.forEach(address => addresses.add(address));
        updatePeers();
    });
    resources.use(knowledge);
    const upstreams = createUpstreamTable({
        clock,
        hasher,
        peerTimeoutMs: silenceMs,
        unobservedShare: () => peers.exchange?.unheardShare() ?? 0,
        serviceOf: service => knowledge.configuration()?.servicesByName.get(service),
        onPlaced: ({ service, upstreamId, isEngine, load, workMs, partIds }) => {
            work.add(service, workMs);
            if (isEngine) {
                peers.exchange?.notify({ hostName: settings.hostName, upstreamId, ...load, partIds: [...partIds] });
            }
        },
    });
    const retries = createRetryBudget(clock, { ...settings.retryBudget, hostCount: upstreams.hostCount });
    const isInformed = (): boolean => knowledge.configuration() !== undefined && upstreams.records().length > 0;

    const gateway = resources.use(createGateway({
        clock,
        random,
        codec: options.codec,
        engines: options.engines,
        configuration: knowledge.configuration,
        isInitialized: isInformed,
        upstreams,
        accounts,
        retryBudget: retries,
        events: createGatewayEvents(log, metrics, usage.add),
        stopAcceptMs: STOP_ACCEPT_MS,
    }));

    // Callers that find no listener give up sooner than those that wait until this host is informed.
    const listeners = resources.use(
        await startHostListeners(
            settings.listen,
            gateway.handle,
            () => !isStopping && isInformed(),
            () => knowledge.configuration()?.source.limits.idleTimeoutMs,
        ),
    );

    const parts: HostParts = { knowledge, upstreams, accounts, usage, work, time };
    const createReport = createReportSource(parts, settings, clock);

    const liveReports = (): readonly { readonly report: HostReport; readonly heardAtMs: number; }[] =>
        [...peers.exchange?.reports().values() ?? []]
            .filter(({ heardAtMs }) => clock.monotonicMs() - heardAtMs < Math.max(LEAST_LIVE_MS, silenceMs()));

    const exchange = await createReportExchange<HostReport>({
        hostId: settings.hostId,
        address: settings.listen.peers,
        clock,
        random,
        intervalMs: REPORT_INTERVAL_MS,
        fanout: REPORT_FANOUT,
        createReport,
        decodeReport: decodeHostReport,
        onReport: (report, ageMs) => applyHostReport(parts, report, ageMs),
        onNotice: ({ hostName, upstreamId, running, backlogTokens, partIds }) =>
            upstreams.observePlacement(hostName, upstreamId as UpstreamId, { running, backlogTokens }, partIds),
        documents: knowledge.documents,
        staleSets: ({ revisions }) => {
            const own = knowledge.revisions();
            return Object.entries(revisions).filter(([set, revision]) => revision > (own[set] ?? 0)).map(([set]) =>
                set
            );
        },
        onDocuments: knowledge.offer,
        onPeer: (address, reachable, reason) =>
            log.write(reachable ? "peer_regained" : "peer_lost", { address, reason }),
    });
    if (exchange.err) {
        throw new FailureError(exchange.val);
    }
    peers.exchange = resources.use(exchange.val);
    updatePeers();

    const busyUpstreams = (service: ServiceName): number =>
        liveReports().reduce(
            (sum, { report }) => sum + (report.work.find(([name]) => name === service)?.[1] ?? 0),
            work.busyUpstreams().get(service) ?? 0,
        );

    resources.use(createEdgeDuties({
        ...options,
        usage,
        upstreams,
        configuration: knowledge.configuration,
        // The first few hosts by name that reach the store are enough: each contender reads the lease all the time.
        mayContend: () =>
            liveReports().filter(({ report }) => report.isInContact && report.hostName < settings.hostName).length
                < CONTENDERS,
        foundAtMs: service => foundAtMs.get(service),
        busyUpstreams,
        zonesInUse: new Set(settings.availabilityZones),
        nowMs: time.nowMs,
        heardAllSince: timeMs => {
            const oldestMs = clock.monotonicMs() - (time.nowMs() - timeMs);
            return liveReports().every(({ heardAtMs }) => heardAtMs >= oldestMs);
        },
    }));

    const background = [registerHost(options, stopped.signal), watchSuspensions(clock, log, stopped.signal)];
    resources.defer(async () => {
        stopped.abort();
        await Promise.all(background);
    });

    log.write("started", { hostId: settings.hostId, callers: settings.listen.callers });

    const stop = async (): Promise<void> => {
        const startedAtMs = clock.monotonicMs();
        const elapsedMs = (): number => clock.monotonicMs() - startedAtMs;
        isStopping = true;
        gateway.beginStop();
        log.write("stopping", { requestsInFlight: gateway.requestsInFlight(), graceMs: settings.graceMs });
        await clock.sleep(STOP_LISTEN_MS);
        listeners.closeToCallers();
        while (gateway.requestsInFlight() > 0 && elapsedMs() < settings.graceMs * STOP_SHARE) {
            await clock.sleep(STOP_POLL_MS);
        }
        log.write("stopped", { requestsInFlight: gateway.requestsInFlight(), durationMs: Math.round(elapsedMs()) });
    };

    return { stop, [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose]() };
};
