import { createFailure, ErrorCode, type Failure, type HostId, measureElapsedMs, type Timer } from "@ibislanding/core";
import {
    createPeerClients,
    createPeerServer,
    createUnaryHandler,
    type DocumentsRequest,
    type LoadNotice,
    type LoadNoticeResponse,
    type PeerAddress,
    type ReportExchange as ReportMessage,
    ReportServiceService,
    type StreamOrigin as StreamOriginMessage,
    type StreamOriginQuery,
} from "@ibislanding/protocol";
import { Err, Ok, type Result } from "ts-results";
import { createCollectorSelection } from "./createCollectorSelection";
import { createDocumentFetcher } from "./createDocumentFetcher";
import { createDocumentsResponse } from "./createDocumentsResponse";
import { createReportTable } from "./createReportTable";
import { decodeReports } from "./decodeReports";
import { encodeReports } from "./encodeReports";
import type { Peer } from "./peer";
import type { ReportExchange } from "./reportExchange";
import type { ReportExchangeOptions } from "./reportExchangeOptions";

/** A peer responds within a network round trip; after this time the peer or the connection is considered lost. */
const CALL_TIMEOUT_MS = 400;

/** Interval at which an unreachable peer of a small group is called until it responds. */
const UNREACHABLE_RETRY_MS = 1_000;

/**
 * Up to this number of peers, all hosts call each other. In a larger group the messages would grow with the square of
 * the number of hosts, and hosts report to collectors instead.
 */
const MAXIMUM_DIRECT_PEERS = 12;

/** Interval at which a host of a large group reports to its collector, and at which collectors call each other. */
const COLLECT_INTERVAL_MS = 650;

/** Candidates that a host tries in one round before it collects by itself. */
const MAXIMUM_COLLECTOR_ATTEMPTS = 3;

/** A host that has received no contributions for this long is no longer a collector. */
const COLLECTOR_TIMEOUT_MS = 2_000;

/** Age up to which members receive a collector's summary. */
const MAXIMUM_SUMMARY_AGE_MS = 2_000;

/** Time for which members receive the same summary; it saves a collector from creating one for each of them. */
const SUMMARY_REUSE_MS = 100;

/** A collector that answered within this time is relied on to tell when documents change. */
const RELAY_TIMEOUT_MS = 1_500;

/** Time after which a started host no longer waits for the first peers, as all of them may be gone. */
const FIRST_CONTACT_TIMEOUT_MS = 500;

/** Delay of an announced report, for what becomes known at the same time to be sent together. */
const ANNOUNCE_DELAY_MS = 20;

/** Matches the reason of a failed call for which no connection was established, so that nothing was sent. */
const NOT_CONNECTED = /^No connection established/;

/** Starts the listener and the rounds of a host; fails if the listener can't be opened. */
export const createReportExchange = async <
    Report extends {
        readonly hostId: HostId;
        readonly sequence: number;
        readonly address: string;
        readonly isInContact: boolean;
    },
>(
    options: ReportExchangeOptions<Report>,
): Promise<Result<ReportExchange<Report>, Failure>> => {
    const { clock, random, aggregation } = options;
    const stop = new AbortController();
    const reports = createReportTable(options);
    const lastFailureAtMs = new Map<string, number>();
    const selection = createCollectorSelection(clock);
    let peers: readonly string[] = [];
    let group = options.group;
    let lastCollectedAtMs = -Infinity;
    let lastRelayedAtMs = -Infinity;
    let hasContactedPeers = false;
    let announcement: Timer | undefined;
    /** Ends the pause between two rounds. */
    let pause = new AbortController();
    let summary: { readonly text: string; readonly createdAtMs: number; readonly bytes: Buffer; } | undefined;

    const isLargeGroup = (): boolean => peers.length > MAXIMUM_DIRECT_PEERS;

    const isCollector = (): boolean => clock.monotonicMs() - lastCollectedAtMs < COLLECTOR_TIMEOUT_MS;

    const setReachable = (address: string, isReachable: boolean, reason: string): void => {
        if (isReachable === lastFailureAtMs.has(address)) {
            options.onPeerReachabilityChange(address, isReachable, reason);
        }
        if (isReachable) {
            lastFailureAtMs.delete(address);
            selection.recordSuccess(address);
        }
        else {
            lastFailureAtMs.set(address, clock.monotonicMs());
            selection.recordFailure(address);
        }
    };

    const ownSummary = (): NonNullable<typeof summary> => {
        const nowMs = clock.monotonicMs();
        if (summary === undefined || nowMs - summary.createdAtMs >= SUMMARY_REUSE_MS) {
            const text = JSON.stringify(aggregation.summarize());
            summary = {
                text,
                createdAtMs: nowMs,
                bytes: encodeReports([{ text, ageMs: 0 }, ...reports.recentEnvelopes(MAXIMUM_SUMMARY_AGE_MS)]),
            };
        }
        return summary;
    };

    /** What this host answers to a peer or another collector. */
    const createMessage = (): ReportMessage => {
        if (!isLargeGroup()) {
            return { reports: encodeReports([{ text: JSON.stringify(options.createReport()), ageMs: 0 }]) };
        }
        if (isCollector()) {
            const { text, createdAtMs } = ownSummary();
            return { reports: encodeReports([{ text, ageMs: Math.round(clock.monotonicMs() - createdAtMs) }]) };
        }
        return { reports: encodeReports(reports.recentEnvelopes(MAXIMUM_SUMMARY_AGE_MS)) };
    };

    const clients = createPeerClients();
    const { fetchStaleSets } = createDocumentFetcher(options, clients);

    const handleExchange = (request: ReportMessage): Result<ReportMessage, Failure> => {
        const sender = reports.receive(request.reports);
        return sender === undefined ? Err(createFailure(ErrorCode.BadRequest)) : Ok(createMessage());
    };

    const handleCollect = (request: ReportMessage): Result<ReportMessage, Failure> => {
        const [envelope] = decodeReports(request.reports) ?? [];
        const contribution = envelope === undefined ? undefined : options.decodeReport(envelope.text);
        if (contribution === undefined) {
            return Err(createFailure(ErrorCode.BadRequest));
        }
        lastCollectedAtMs = clock.monotonicMs();
        aggregation.collect(contribution);
        fetchStaleSets(contribution);
        return Ok({ reports: ownSummary().bytes });
    };

    const handleNotice = (notice: LoadNotice): Result<LoadNoticeResponse, Failure> => {
        options.onNotice(notice);
        return Ok({});
    };

    const server = await createPeerServer({
        address: options.address,
        ...(options.maximumConnections === undefined ? {} : { maximumConnections: options.maximumConnections }),
        services: [{
            definition: ReportServiceService,
            implementation: {
                exchange: createUnaryHandler(handleExchange),
                collect: createUnaryHandler(handleCollect),
                notify: createUnaryHandler(handleNotice),
                recordStreamOrigin: createUnaryHandler((origin: StreamOriginMessage) => {
                    options.onStreamOrigin(origin);
                    return Ok({});
                }),
                findStreamOrigin: createUnaryHandler((query: StreamOriginQuery) => Ok(options.findStreamOrigin(query))),
                fetchDocuments: createUnaryHandler((request: DocumentsRequest) =>
                    Ok(createDocumentsResponse(options.documents(request.set), request))
                ),
            },
        }],
        shutdownTimeoutMs: CALL_TIMEOUT_MS,
    });
    if (server.err) {
        await clients[Symbol.asyncDispose]();
        return server;
    }
    const ownAddress: string = server.val.address;

    const callPeer = async (address: string, message = createMessage()): Promise<void> => {
        const elapsedMs = measureElapsedMs(clock);
        const result = await clients.call(
            address as PeerAddress,
            ReportServiceService.exchange,
            message,
            CALL_TIMEOUT_MS,
        );
        if (stop.signal.aborted) {
            return;
        }
        setReachable(address, result.ok, result.ok ? "answered" : String(result.val.details?.["status"]));
        const report = result.ok
            ? reports.receive(result.val.reports, elapsedMs())
            : undefined;
        if (report !== undefined) {
            fetchStaleSets(report);
        }
    };

    const collectOwnContribution = (): void => {
        lastCollectedAtMs = clock.monotonicMs();
        aggregation.collect(aggregation.nextContribution(ownAddress));
        aggregation.acknowledge(ownAddress, options.hostId);
        const report = aggregation.summarize();
        reports.store(report, { text: JSON.stringify(report), ageMs: 0 });
    };

    /** Sends this host's contribution to a collector; returns whether it answered. */
    const contributeTo = async (address: string): Promise<boolean> => {
        const contribution = aggregation.nextContribution(address);
        const elapsedMs = measureElapsedMs(clock);
        const result = await clients.call(
            address as PeerAddress,
            ReportServiceService.collect,
            { reports: encodeReports([{ text: JSON.stringify(contribution), ageMs: 0 }]) },
            CALL_TIMEOUT_MS,
        );
        if (stop.signal.aborted) {
            return true;
        }
        setReachable(address, result.ok, result.ok ? "answered" : String(result.val.details?.["status"]));
        if (result.err && NOT_CONNECTED.test(String(result.val.details?.["reason"]))) {
            aggregation.withdraw(address);
        }
        const collector = result.ok
            ? reports.receive(
                result.val.reports,
                elapsedMs() + SUMMARY_REUSE_MS,
                ({ hostId }) => aggregation.acknowledge(address, hostId),
            )
            : undefined;
        if (collector !== undefined) {
            lastRelayedAtMs = collector.isInContact ? clock.monotonicMs() : lastRelayedAtMs;
            fetchStaleSets(collector);
        }
        return result.ok;
    };

    const reportToCollector = async (): Promise<void> => {
        for (const address of selection.candidates(group).slice(0, MAXIMUM_COLLECTOR_ATTEMPTS)) {
            if (address === ownAddress) {
                break;
            }
            if (await contributeTo(address)) {
                return;
            }
        }
        collectOwnContribution();
    };

    const callOtherCollectors = (): void => {
        const addresses = selection.groups().filter(other => other !== group).flatMap(other =>
            selection.candidates(other)[0] ?? []
        );
        if (addresses.length > 0) {
            // All get the same message, as they are called at the same time.
            const message = createMessage();
            addresses.forEach(address => void callPeer(address, message));
        }
    };

    const isCallDue = (address: string): boolean =>
        clock.monotonicMs() - (lastFailureAtMs.get(address) ?? -Infinity) >= UNREACHABLE_RETRY_MS;

    const samplePeers = (count: number): readonly string[] =>
        peers
            .filter(isCallDue)
            .map(address => ({ address, order: random.nextFloat() }))
            .sort((left, right) => left.order - right.order)
            .slice(0, count)
            .map(({ address }) => address);

    const runRound = async (): Promise<void> => {
        if (!isLargeGroup()) {
            const calls = Promise.all(samplePeers(options.fanout).map(address => callPeer(address)));
            void calls.then(() => {
                hasContactedPeers = true;
            });
            return;
        }
        await reportToCollector();
        hasContactedPeers = true;
        if (isCollector()) {
            callOtherCollectors();
        }
    };

    const announceReport = (): void => {
        if (isLargeGroup()) {
            // The next round starts now: contributions to a collector must not overlap.
            pause.abort();
            return;
        }
        samplePeers(MAXIMUM_DIRECT_PEERS).forEach(address => void callPeer(address));
    };

    const run = async (): Promise<void> => {
        while (!stop.signal.aborted) {
            await runRound();
            reports.evictExpired();
            // Jitter keeps the rounds of hosts that started at the same time from coinciding.
            const intervalMs = isLargeGroup() ? COLLECT_INTERVAL_MS : options.intervalMs;
            pause = new AbortController();
            await clock.sleep(stop.signal.aborted ? 0 : intervalMs * (0.75 + random.nextFloat() / 2), pause.signal);
        }
    };
    const firstContactTimer = clock.setTimer(FIRST_CONTACT_TIMEOUT_MS, () => {
        hasContactedPeers = true;
    });
    const running = run();

    return Ok({
        address: ownAddress,
        setHosts: (hosts: readonly Peer[]) => {
            peers = hosts.map(({ address }) => address).filter(address => address !== ownAddress);
            group = hosts.find(({ address }) => address === ownAddress)?.group ?? options.group;
            selection.setHosts(hosts);
            [...lastFailureAtMs.keys()].filter(address => !peers.includes(address)).forEach(address =>
                lastFailureAtMs.delete(address)
            );
        },
        notify: notice => {
            if (!isLargeGroup()) {
                samplePeers(MAXIMUM_DIRECT_PEERS).forEach(address =>
                    // Failures are ignored: the rounds track which peers are reachable.
                    void clients.call(address as PeerAddress, ReportServiceService.notify, notice, CALL_TIMEOUT_MS)
                );
            }
        },
        recordStreamOrigin: (address, origin) =>
            clients.call(address as PeerAddress, ReportServiceService.recordStreamOrigin, origin, CALL_TIMEOUT_MS),
        findStreamOrigin: (address, query) =>
            clients.call(address as PeerAddress, ReportServiceService.findStreamOrigin, query, CALL_TIMEOUT_MS),
        announce: () => {
            announcement ??= clock.setTimer(ANNOUNCE_DELAY_MS, () => {
                announcement = undefined;
                announceReport();
            });
        },
        unnotifiedShare: () => isLargeGroup() ? 1 : 0,
        propagationDelayMs: () =>
            isLargeGroup()
                ? COLLECT_INTERVAL_MS * 1.5
                : options.intervalMs * peers.length / Math.max(1, 2 * options.fanout),
        reports: reports.all,
        hasContactedPeers: () => hasContactedPeers,
        isRepresentative: () => !isLargeGroup() || isCollector(),
        isCollector: () => isLargeGroup() && isCollector(),
        isRelayed: () => isLargeGroup() && !isCollector() && clock.monotonicMs() - lastRelayedAtMs < RELAY_TIMEOUT_MS,
        [Symbol.asyncDispose]: async () => {
            stop.abort();
            pause.abort();
            firstContactTimer.cancel();
            announcement?.cancel();
            await running;
            await clients[Symbol.asyncDispose]();
            await server.val[Symbol.asyncDispose]();
        },
    });
};
