import type { AvailabilityZone, ServiceName, UpstreamId } from "@ibislanding/core";
import { createHasher, createResourceStack, FailureError } from "@ibislanding/core";
import { createClusterClock, createReportExchange, type ReportExchange } from "@ibislanding/discovery";
import { createUsageCounts, createUsageRecords } from "@ibislanding/duties";
import {
    createAccountMeter,
    createCrashDetector,
    createGateway,
    createRecentAnswers,
    createRetryBudget,
    createStreamRelief,
    createUpstreamTable,
    probeAddress,
    type UpstreamRecord,
} from "@ibislanding/gateway";
import { createQuarantine } from "@ibislanding/quarantine";
import type { ConnectionCloseCause } from "@ibislanding/runtime";
import { createAdmission } from "./admission/createAdmission";
import { applyHostReport } from "./applyHostReport";
import { assignPeerGroups } from "./assignPeerGroups";
import { createDocumentAges } from "./createDocumentAges";
import { createDocumentCache } from "./createDocumentCache";
import { createEdgeDuties } from "./createEdgeDuties";
import { createGatewayEvents } from "./createGatewayEvents";
import { createHostRelay } from "./createHostRelay";
import { createQuarantineEvents } from "./createQuarantineEvents";
import { createQuarantineHandler } from "./createQuarantineHandler";
import { createQuarantineStore } from "./createQuarantineStore";
import { createReportAggregation } from "./createReportAggregation";
import { createReportFactory } from "./createReportFactory";
import { createStreamOriginStore } from "./createStreamOriginStore";
import { createVersionStore } from "./createVersionStore";
import { createWorkMeter } from "./createWorkMeter";
import { decodeHostReport } from "./decodeHostReport";
import { documentSetNames } from "./documentSetNames";
import type { EdgeHost } from "./edgeHost";
import type { EdgeOptions } from "./edgeOptions";
import { createExplainHandler } from "./explanation/createExplainHandler";
import type { HostComponents } from "./hostComponents";
import type { HostEntry } from "./hostEntry";
import type { HostReport } from "./hostReport";
import { limitConnections } from "./limitConnections";
import { listLiveHosts } from "./listLiveHosts";
import { listReachRows } from "./listReachRows";
import { rankHosts } from "./rankHosts";
import { registerHost } from "./registerHost";
import { createRolloutHandler } from "./rollouts/createRolloutHandler";
import { createRollouts } from "./rollouts/createRollouts";
import { startHostListeners } from "./startHostListeners";
import type { StoredRows } from "./storedRows";
import { watchDocumentAges } from "./watchDocumentAges";
import { watchSuspensions } from "./watchSuspensions";

/** Report interval in a small group: placements and limits use peer state that is up to two intervals old. */
const REPORT_INTERVAL_MS = 300;

/** Peers called in each round; in a small group each pair of hosts then exchanges reports a few times a second. */
const REPORT_FANOUT = 2;

/** A peer times out without a report for this many propagation delays, but not before the minimum. */
const PEER_TIMEOUT_FACTOR = 3;
const MINIMUM_PEER_TIMEOUT_MS = 1_500;

/** A peer whose report is younger than this counts as live; the limit is longer if reports propagate more slowly. */
const MINIMUM_LIVE_MS = 2_000;

/** Maximum number of hosts that contend for the duties. */
const MAXIMUM_CONTENDERS = 4;

/** Hosts up to which the fleet does not follow the demand of zones. */
const MAXIMUM_SMALL_GROUP = 16;

/** Fraction of the permitted excess that is granted deliberately; the rest is reserved for delayed reports. */
const ACCOUNT_SLACK_SHARE = 0.5;

/** Fraction of the memory that bodies may hold; the rest is for the program, and for what connections have not delivered. */
const BODY_MEMORY_SHARE = 0.2;

/** Fraction of the grace period after which the stop no longer waits for requests in flight. */
const STOP_GRACE_SHARE = 0.93;

/** Time for which new requests are still forwarded while stopping: callers switch to other hosts within it. */
const STOP_ACCEPT_MS = 2_600;

/** Time for which the listener stays open while stopping: the load balancer needs two failed readiness checks. */
const STOP_LISTEN_MS = 3_000;

const STOP_POLL_MS = 50;

const MS_PER_S = 1_000;

/** Sets of which a change must be in force on every host within a time. */
const BOUNDED_SETS = [documentSetNames.configuration, documentSetNames.upstreams];

/** Group of seeds, whose availability zones are not known; nobody collects for it. */
const UNKNOWN_GROUP = "";

/** Starts all components of a host and resolves when its listeners are open; rejects if one can't be opened. */
export const startEdgeHost = async (options: EdgeOptions): Promise<EdgeHost> => {
    const { settings, clock, random, log, metrics } = options;
    const resources = createResourceStack();
    const hasher = await createHasher();
    const clusterClock = createClusterClock(clock);
    const usage = createUsageCounts(settings.usage.windowMs, clusterClock.nowMs);
    const usageRecords = createUsageRecords();
    const peers: { exchange?: ReportExchange<HostReport>; } = {};
    const versions: { store?: StoredRows; } = {};
    const peerTimeoutMs = (): number =>
        Math.max(MINIMUM_PEER_TIMEOUT_MS, PEER_TIMEOUT_FACTOR * (peers.exchange?.propagationDelayMs() ?? 0));
    const accounts = createAccountMeter(clock, {
        peerTimeoutMs,
        windowMs: settings.accountLimits.windowMs,
        toleratedUnits: settings.accountLimits.slackUnits * ACCOUNT_SLACK_SHARE,
    });
    const closedConnections = metrics.counter(
        "ibis_connections_closed",
        "Connections that this host closed, by listener and cause.",
    );
    const observeClosedConnection = (listener: string, cause: ConnectionCloseCause): void =>
        closedConnections.add(1, { listener, cause });
    const workMeter = createWorkMeter(clock);
    const stopController = new AbortController();
    let registeredHosts: readonly HostEntry[] = [];
    let isStopping = false;

    const updatePeers = (): void => {
        const registered = assignPeerGroups(registeredHosts);
        const addresses = new Set(registered.map(({ address }) => address));
        const seeds = settings.seedAddresses.filter(address => !addresses.has(address));
        peers.exchange?.setHosts([...registered, ...seeds.map(address => ({ address, group: UNKNOWN_GROUP }))]);
    };

    /** Others read the store too in a small group; the members of a large one rely on their collectors. */
    const announceDeparture = (): void => {
        if (peers.exchange?.isCollector() === true) {
            peers.exchange.announce();
        }
    };

    const firstSeenAtMs = new Map<ServiceName, number>();
    const replaceUpstreams = (records: readonly UpstreamRecord[]): void => {
        records.filter(({ service }) => !firstSeenAtMs.has(service)).forEach(({ service }) =>
            firstSeenAtMs.set(service, clock.monotonicMs())
        );
        const isAnyNewlyLeaving = records.some(record => record.isLeaving && !upstreams.isLeaving(record));
        // Confirmed only after this call, so that the age is that of the list that is replaced.
        upstreams.replace(records, ages.ageMs(documentSetNames.upstreams));
        if (isAnyNewlyLeaving) {
            announceDeparture();
        }
    };
    const ages = createDocumentAges(clock, BOUNDED_SETS);
    metrics.labelledGauge(
        "ibis_document_age_seconds",
        "Time since a set of documents was known to be the newest; absent until then.",
        () =>
            [...ages.all()].filter(([, ageMs]) => Number.isFinite(ageMs)).map(([set, ageMs]) => ({
                labels: { set },
                value: ageMs / MS_PER_S,
            })),
    );
    const documentCache = createDocumentCache(options, {
        onUpstreams: replaceUpstreams,
        onHosts: hosts => {
            registeredHosts = hosts;
            updatePeers();
        },
        onRolloutOrders: set => rollouts?.registry.observeOrders(set),
        onRolloutStates: set => rollouts?.registry.observeStates(set),
        isRollingOut: () => rollouts?.registry.isRollingOut() ?? false,
        isRelayed: () => peers.exchange?.isRelayed() ?? false,
        onConfirmed: ages.confirm,
        isCollector: () => peers.exchange?.isCollector() ?? false,
    });
    resources.use(documentCache);

    const liveReports = (): readonly { readonly report: HostReport; readonly reportedAtMs: number; }[] =>
        [...peers.exchange?.reports().values() ?? []]
            .filter(({ reportedAtMs }) =>
                clock.monotonicMs() - reportedAtMs < Math.max(MINIMUM_LIVE_MS, peerTimeoutMs())
            );

    const startedAtMs = clock.monotonicMs();
    const listHosts = (keepsSilentMajority: boolean): readonly string[] =>
        listLiveHosts({
            ownAddress: settings.listen.peers,
            registered: registeredHosts.map(({ address }) => address),
            reports: [...peers.exchange?.reports().values() ?? []].map(({ report, reportedAtMs }) => ({
                address: report.address,
                reportedAtMs,
            })),
            isLargeGroup: (peers.exchange?.unnotifiedShare() ?? 0) > 0,
            uptimeMs: clock.monotonicMs() - startedAtMs,
            nowMs: clock.monotonicMs(),
            keepsSilentMajority,
        });
    const liveHostAddresses = (): readonly string[] => listHosts(false);
    const upstreams = createUpstreamTable({
        clock,
        hasher,
        inForceMs: settings.inForceMs,
        listAgeMs: () => ages.ageMs(documentSetNames.upstreams),
        peerTimeoutMs,
        unobservedShare: () => peers.exchange?.unnotifiedShare() ?? 0,
        busyMs: () => performance.eventLoopUtilization().active,
        sharedNowMs: clusterClock.nowMs,
        ownAddress: settings.listen.peers,
        hostAddresses: () => listHosts(true),
        serviceOf: service => documentCache.configuration()?.servicesByName.get(service),
        onPlaced: ({ service, upstreamId, isEngine, load, workMs, partIds }) => {
            workMeter.add(service, workMs);
            if (isEngine) {
                peers.exchange?.notify({ hostName: settings.hostName, upstreamId, ...load, partIds: [...partIds] });
            }
        },
    });
    metrics.labelledGauge(
        "ibis_engine_delay_factor",
        "Factor by which streams of an engine are slower than predicted at this host, unless it is near 1.",
        () => [...upstreams.delayFactors()].map(([upstream, value]) => ({ labels: { upstream }, value })),
    );
    const rollouts = settings.rollouts === undefined ? undefined : resources.use(createRollouts({
        ...options,
        bounds: settings.rollouts,
        hasher,
        upstreams,
        nowMs: clusterClock.nowMs,
        // A host that can't reach the store has the newest states as long as a peer that reaches it has no newer ones.
        isFollowing: () =>
            documentCache.isStoreReachable() || peers.exchange?.isRelayed() === true
            || liveReports().some(({ report }) =>
                report.isInContact
                && !documentCache.staleSets(report.positions).includes(documentSetNames.rolloutStates)
            ),
    }));
    const streamOrigins = createStreamOriginStore({
        clock,
        hasher,
        ownAddress: settings.listen.peers,
        hostAddresses: liveHostAddresses,
        exchange: () => peers.exchange,
        confirmedAgeMs: () => ages.newestAgeMs(documentSetNames.upstreams),
        hasPeers: () => registeredHosts.some(({ address }) => address !== settings.listen.peers),
        versionsOf: upstreams.versionsOf,
        areVersionsRead: () => versions.store?.isRead() === true,
        onUnrecorded: ({ requestId, softwareVersion }) =>
            log.write("stream_origin_unrecorded", { requestId, softwareVersion }),
    });
    const recentAnswers = createRecentAnswers();
    const quarantineEvents = createQuarantineEvents(log, metrics, () => peers.exchange?.announce());
    const quarantine = createQuarantine({
        nowMs: clusterClock.nowMs,
        lastAnsweredAtMs: recentAnswers.lastAnsweredAtMs,
        isTrialTurn: (featureId, turn) => {
            const hosts = rankHosts(hasher, featureId, liveHostAddresses());
            return hosts[turn % hosts.length] === settings.listen.peers;
        },
        events: {
            ...quarantineEvents,
            onAccused: (suspect, isOwn) => {
                upstreams.observeCrash(suspect);
                quarantineEvents.onAccused(suspect, isOwn);
            },
        },
    });
    const isRepresentative = (): boolean => peers.exchange?.isRepresentative() ?? false;
    const quarantineStore = resources.use(createQuarantineStore({
        ...options,
        key: `${options.documents.ownPrefix}quarantine`,
        isRepresentative,
    }, quarantine));
    versions.store = resources.use(createVersionStore({
        ...options,
        key: `${options.documents.ownPrefix}versions`,
        isRepresentative,
    }, upstreams));
    const retries = createRetryBudget(clock, { ...settings.retryBudget, hostCount: upstreams.hostCount });
    const { relay: relayAddress } = settings.listen;
    const relay = relayAddress === undefined ? undefined : resources.use(createHostRelay(relayAddress, {
        ...options,
        upstreams,
        sharedNowMs: clusterClock.nowMs,
        registeredHosts: () => registeredHosts,
        liveHostAddresses,
        reportedReach: () => listReachRows([...peers.exchange?.reports().values() ?? []], clock.monotonicMs()),
        announce: () => peers.exchange?.announce(),
        onConnectionClosed: cause => observeClosedConnection("relay", cause),
    }));
    // A store that was restored from a copy may have older documents than the peers.
    const hasInitialState = (): boolean =>
        documentCache.configuration() !== undefined && upstreams.records().length > 0
        && peers.exchange?.hasContactedPeers() === true && quarantineStore.isLoaded()
        && versions.store?.isLoaded() === true;

    const crashes = createCrashDetector({
        clock,
        sharedNowMs: clusterClock.nowMs,
        upstreams,
        probe: probeAddress,
        onCrash: suspect =>
            relay === undefined
                ? quarantine.accuse(suspect)
                : relay.verifyCrash(suspect, () => quarantine.accuse(suspect)),
    });

    const admission = createAdmission({
        ...options,
        hostCount: upstreams.hostCount,
        isKnownService: service => documentCache.configuration()?.servicesByName.has(service) === true,
    });

    const streamRelief = createStreamRelief(clock);
    const gateway = resources.use(createGateway({
        clock,
        random,
        codec: options.codec,
        engines: options.engines,
        configuration: documentCache.configuration,
        isInitialized: hasInitialState,
        upstreams: relay?.observeSends(upstreams) ?? upstreams,
        relay: relay?.port,
        accounts,
        retryBudget: retries,
        quarantine,
        recentAnswers,
        streamOrigins,
        streamRelief,
        versions: rollouts?.policy,
        admission: admission.level,
        returns: admission.returns,
        crashes: relay?.observeLosses(crashes) ?? crashes,
        sharedNowMs: clusterClock.nowMs,
        events: createGatewayEvents(log, metrics, usage.add, () => peers.exchange?.announce()),
        maximumBodyMemoryBytes: settings.memoryBytes * BODY_MEMORY_SHARE,
        stopAcceptMs: STOP_ACCEPT_MS,
        stopGraceMs: settings.graceMs * STOP_GRACE_SHARE,
    }));

    metrics.gauge(
        "ibis_body_memory_bytes",
        "Memory that the bodies of requests and answers hold.",
        gateway.heldBodyBytes,
    );

    // Opened before the first configuration is known: callers give up sooner when connections are refused than when
    // their requests wait for the configuration.
    const listeners = resources.use(
        await startHostListeners(
            settings.listen,
            gateway.handle,
            () => !isStopping && hasInitialState() && relay?.canServe() !== false,
            () => documentCache.configuration()?.source.limits.idleTimeoutMs,
            {
                callers: limitConnections(settings, "callers"),
                readiness: limitConnections(settings, "readiness"),
            },
            observeClosedConnection,
        ),
    );

    await relay?.listen(gateway);

    const components: HostComponents = {
        documentCache,
        upstreams,
        accounts,
        usage,
        usageRecords,
        workMeter,
        clusterClock,
        quarantine,
        rollouts,
        admission,
    };
    const createReport = createReportFactory(components, settings, clock, relay?.reachRows, ages.all);

    const exchange = await createReportExchange<HostReport>({
        hostId: settings.hostId,
        address: settings.listen.peers,
        maximumConnections: limitConnections(settings, "peers").maximumConnections,
        group: assignPeerGroups([{
            address: settings.listen.peers,
            availabilityZone: settings.availabilityZone,
            cores: settings.processorCores,
        }])[0]?.group ?? UNKNOWN_GROUP,
        clock,
        random,
        intervalMs: REPORT_INTERVAL_MS,
        fanout: REPORT_FANOUT,
        createReport,
        aggregation: createReportAggregation(clock, settings.hostId, createReport),
        decodeReport: decodeHostReport,
        onReport: (report, ageMs) => {
            documentCache.observePositions(report.positions);
            ages.supersede(documentCache.staleSets(report.positions));
            applyHostReport(
                components,
                options.storeEpoch,
                report,
                ageMs,
                (upstreamId, startedAtMs) => {
                    log.write("upstream_leaving", { upstreamId, startedAtMs, source: report.hostName });
                    announceDeparture();
                },
                (upstreamId, startedAtMs, limitPerS) =>
                    log.write("upstream_limited", { upstreamId, startedAtMs, limitPerS, source: report.hostName }),
                (upstreamId, startedAtMs, rejectionsPerS) =>
                    log.write("upstream_brittle", {
                        upstreamId,
                        startedAtMs,
                        rejectionsPerS,
                        source: report.hostName,
                    }),
            );
        },
        onAnswer: (report, ageMs) => ages.observePeer(report, ageMs, documentCache.staleSets(report.positions)),
        onNotice: ({ hostName, upstreamId, running, backlogTokens, partIds }) =>
            upstreams.observePlacement(hostName, upstreamId as UpstreamId, { running, backlogTokens }, partIds),
        onStreamOrigin: streamOrigins.remember,
        findStreamOrigin: streamOrigins.reply,
        documents: documentCache.documents,
        staleSets: ({ positions }) => documentCache.staleSets(positions),
        fetchDelayMs: documentCache.fetchDelayMs,
        onDocuments: (name, set) => {
            documentCache.offer(name, set);
            const current = documentCache.documents(name);
            if (current !== undefined) {
                ages.reach(name, current);
            }
        },
        onPeerReachabilityChange: (address, isReachable, reason) =>
            log.write(isReachable ? "peer_regained" : "peer_lost", { address, reason }),
    });
    if (exchange.err) {
        throw new FailureError(exchange.val);
    }
    peers.exchange = resources.use(exchange.val);
    updatePeers();

    const busyUpstreams = (service: ServiceName): number =>
        liveReports().reduce(
            (sum, { report }) => sum + (report.work.find(([name]) => name === service)?.[1] ?? 0),
            workMeter.busyUpstreams().get(service) ?? 0,
        );

    const busyUpstreamsByZone = (service: ServiceName): ReadonlyMap<AvailabilityZone, number> | undefined => {
        const zones = new Map(registeredHosts.map(({ address, availabilityZone }) => [address, availabilityZone]));
        const own = { address: settings.listen.peers, busy: workMeter.busyUpstreams().get(service) ?? 0 };
        const parts = liveReports().map(({ report: { address, work } }) => ({
            address,
            busy: work.find(([name]) => name === service)?.[1] ?? 0,
        }));
        if (upstreams.hostCount() <= MAXIMUM_SMALL_GROUP || parts.some(({ address }) => !zones.has(address))) {
            return undefined;
        }
        const busyByZone = new Map<AvailabilityZone, number>();
        [own, ...parts].forEach(({ address, busy }) => {
            const zone = (zones.get(address) ?? settings.availabilityZone) as AvailabilityZone;
            busyByZone.set(zone, (busyByZone.get(zone) ?? 0) + busy);
        });
        // A zone whose collector has just ended has demand that is not known.
        return [...zones.values()].every(zone => busyByZone.has(zone as AvailabilityZone)) ? busyByZone : undefined;
    };

    resources.use(createEdgeDuties({
        ...options,
        usage,
        usageRecords,
        upstreams,
        rollouts,
        configuration: documentCache.configuration,
        // Only the first hosts by name that reach the store contend, because each contender polls the lease.
        mayContend: () =>
            exchange.val.isRepresentative()
            && liveReports().filter(({ report }) => report.isInContact && report.hostName < settings.hostName).length
                < MAXIMUM_CONTENDERS,
        firstSeenAtMs: service => firstSeenAtMs.get(service),
        busyUpstreams,
        busyUpstreamsByZone,
        deployedZones: new Set(settings.availabilityZones),
        nowMs: clusterClock.nowMs,
        haveAllPeersReportedSince: timeMs => {
            const oldestMs = clock.monotonicMs() - (clusterClock.nowMs() - timeMs);
            return liveReports().every(({ report, reportedAtMs }) => reportedAtMs - report.oldestMs >= oldestMs);
        },
    }));

    const background = [
        registerHost(options, stopController.signal),
        watchSuspensions(clock, log, stopController.signal),
        watchDocumentAges(
            { clock, log, ages: ages.all, inForceMs: settings.inForceMs, refresh: documentCache.refresh },
            stopController.signal,
        ),
    ];
    resources.defer(async () => {
        stopController.abort();
        await Promise.all(background);
    });

    log.write("started", {
        hostId: settings.hostId,
        callers: settings.listen.callers,
        nodeVersion: process.version,
    });

    const stop = async (): Promise<void> => {
        const startedAtMs = clock.monotonicMs();
        const elapsedMs = (): number => clock.monotonicMs() - startedAtMs;
        isStopping = true;
        gateway.beginStop();
        log.write("stopping", { requestsInFlight: gateway.requestsInFlight(), graceMs: settings.graceMs });
        await clock.sleep(STOP_LISTEN_MS);
        listeners.stopAcceptingCallers();
        while (gateway.requestsInFlight() > 0 && elapsedMs() < settings.graceMs * STOP_GRACE_SHARE) {
            await clock.sleep(STOP_POLL_MS);
        }
        await gateway.endStop();
        log.write("stopped", { requestsInFlight: gateway.requestsInFlight(), durationMs: Math.round(elapsedMs()) });
    };

    return {
        handleQuarantine: createQuarantineHandler(quarantine),
        handleRollouts: createRolloutHandler(() => rollouts?.summaries() ?? []),
        handleExplain: createExplainHandler(() => ({
            configuration: documentCache.configuration(),
            upstreams,
            quarantine,
            streamRelief,
            peekRule: service => rollouts?.peekRule(service) ?? { kind: "any" },
            isCutOff: service => relay?.port.isCutOff(service) ?? false,
        })),
        stop,
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};
