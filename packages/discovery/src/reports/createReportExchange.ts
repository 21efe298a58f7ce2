import { createFailure, ErrorCode, type Failure, type HostId } from "@ibislanding/core";
import {
    createPeerClients,
    createPeerServer,
    createUnaryHandler,
    type DocumentsRequest,
    type DocumentsResponse,
    type LoadNotice,
    type LoadNoticeResponse,
    type PeerAddress,
    type ReportExchange as ReportMessage,
    ReportServiceService,
} from "@ibislanding/protocol";
import { Err, Ok, type Result } from "ts-results";
import { isNewerPosition } from "../documents/isNewerPosition";
import { mergeChangedDocuments } from "../documents/mergeChangedDocuments";
import { selectChangedDocuments } from "../documents/selectChangedDocuments";
import { createCollectorSelection } from "./createCollectorSelection";
import { decodeReports } from "./decodeReports";
import { encodeReports } from "./encodeReports";
import type { Peer } from "./peer";
import type { PeerReport } from "./peerReport";
import type { ReportEnvelope } from "./reportEnvelope";
import type { ReportExchange } from "./reportExchange";
import type { ReportExchangeOptions } from "./reportExchangeOptions";

/** A peer responds within a network round trip; after this time the peer or the connection is considered lost. */
const CALL_TIMEOUT_MS = 400;

const FETCH_TIMEOUT_MS = 1_000;

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

/** Matches the reason of a failed call for which no connection was established, so that nothing was sent. */
const NOT_CONNECTED = /^No connection established/;

/** A process without a report for this long is considered stopped. */
const REPORT_RETENTION_MS = 60_000;

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
    const { clock, random, aggregation, group } = options;
    const stop = new AbortController();
    const reports = new Map<HostId, PeerReport<Report> & { readonly text: string; }>();
    const lastFailureAtMs = new Map<string, number>();
    const fetching = new Set<string>();
    const selection = createCollectorSelection(clock);
    let peers: readonly string[] = [];
    let lastCollectedAtMs = -Infinity;
    let lastRelayedAtMs = -Infinity;
    let hasContactedPeers = false;
    let summary: { readonly text: string; readonly createdAtMs: number; readonly bytes: Buffer; } | undefined;

    const isLargeGroup = (): boolean => peers.length > MAXIMUM_DIRECT_PEERS;

    const isCollector = (): boolean => clock.monotonicMs() - lastCollectedAtMs < COLLECTOR_TIMEOUT_MS;

    const storeReport = (report: Report, text: string, ageMs: number): void => {
        const { hostId } = report;
        const adjusted = aggregation.withoutOwn(report);
        reports.set(hostId, { hostId, report: adjusted, reportedAtMs: clock.monotonicMs() - ageMs, text });
        options.onReport(adjusted, ageMs);
    };

    const receiveReport = (report: Report, { text, ageMs }: ReportEnvelope): void => {
        const known = reports.get(report.hostId);
        if (report.hostId !== options.hostId && (known === undefined || report.sequence > known.report.sequence)) {
            storeReport(report, text, ageMs);
        }
    };

    /** Decodes the reports of a message and passes that of its sender, the first one, to the callback before all others. */
    const receiveMessage = (
        bytes: Uint8Array,
        onSender: (report: Report) => void = () => undefined,
    ): Report | undefined => {
        const decoded = (decodeReports(bytes) ?? []).flatMap(envelope => {
            const report = options.decodeReport(envelope.text);
            return report === undefined ? [] : [{ report, envelope }];
        });
        const sender = decoded[0]?.report;
        if (sender !== undefined) {
            onSender(sender);
        }
        decoded.forEach(({ report, envelope }) => receiveReport(report, envelope));
        return sender;
    };

    const evictExpiredReports = (): void => {
        const oldestMs = clock.monotonicMs() - REPORT_RETENTION_MS;
        [...reports.values()].filter(({ reportedAtMs }) => reportedAtMs < oldestMs).forEach(({ hostId }) =>
            reports.delete(hostId)
        );
    };

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

    /** Recently received summaries of the other collectors. */
    const otherSummaries = (): readonly ReportEnvelope[] => {
        const nowMs = clock.monotonicMs();
        return [...reports.values()]
            .filter(({ hostId, reportedAtMs }) =>
                hostId !== options.hostId && nowMs - reportedAtMs < MAXIMUM_SUMMARY_AGE_MS
            )
            .map(({ text, reportedAtMs }) => ({ text, ageMs: Math.round(nowMs - reportedAtMs) }));
    };

    const ownSummary = (): NonNullable<typeof summary> => {
        const nowMs = clock.monotonicMs();
        if (summary === undefined || nowMs - summary.createdAtMs >= SUMMARY_REUSE_MS) {
            const text = JSON.stringify(aggregation.summarize());
            summary = {
                text,
                createdAtMs: nowMs,
                bytes: encodeReports([{ text, ageMs: 0 }, ...otherSummaries()]),
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
        return { reports: encodeReports(otherSummaries()) };
    };

    const fetchSet = async (address: PeerAddress, set: string, isComplete = false): Promise<void> => {
        const known = isComplete ? undefined : options.documents(set);
        const result = await clients.call(
            address,
            ReportServiceService.fetchDocuments,
            { set, knownEpoch: known?.epoch ?? 0, knownRevision: known?.revision ?? 0 },
            FETCH_TIMEOUT_MS,
        );
        if (result.err || result.val.revision === 0) {
            return;
        }
        const { documents, unchangedKeys } = result.val;
        const merged = mergeChangedDocuments(result.val, documents, unchangedKeys, known);
        if (merged !== undefined) {
            options.onDocuments(set, merged);
        }
        else if (!isComplete) {
            await fetchSet(address, set, true);
        }
    };

    const fetchOnce = async (address: PeerAddress, set: string): Promise<void> => {
        if (!fetching.has(set)) {
            fetching.add(set);
            await fetchSet(address, set);
            fetching.delete(set);
        }
    };

    const fetchStaleSets = (report: Report): void =>
        options.staleSets(report).forEach(staleSet =>
            void clock.setTimer(options.documents(staleSet) === undefined ? 0 : options.fetchDelayMs(staleSet), () => {
                if (options.staleSets(report).includes(staleSet)) {
                    void fetchOnce(report.address as PeerAddress, staleSet);
                }
            })
        );

    const handleExchange = (request: ReportMessage): Result<ReportMessage, Failure> => {
        const sender = receiveMessage(request.reports);
        if (sender === undefined) {
            return Err(createFailure(ErrorCode.BadRequest));
        }
        return Ok(createMessage());
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

    const handleFetchDocuments = (request: DocumentsRequest): Result<DocumentsResponse, Failure> => {
        const set = options.documents(request.set);
        const known = { epoch: request.knownEpoch, revision: request.knownRevision };
        if (set === undefined || !isNewerPosition(set, known)) {
            return Ok({ epoch: 0, revision: 0, documents: [], unchangedKeys: [] });
        }
        const { changed, unchangedKeys } = selectChangedDocuments(set, known);
        return Ok({
            epoch: set.epoch,
            revision: set.revision,
            documents: [...changed],
            unchangedKeys: [...unchangedKeys],
        });
    };

    const server = await createPeerServer({
        address: options.address,
        services: [{
            definition: ReportServiceService,
            implementation: {
                exchange: createUnaryHandler(handleExchange),
                collect: createUnaryHandler(handleCollect),
                notify: createUnaryHandler(handleNotice),
                fetchDocuments: createUnaryHandler(handleFetchDocuments),
            },
        }],
        shutdownTimeoutMs: CALL_TIMEOUT_MS,
    });
    if (server.err) {
        return server;
    }
    const ownAddress: string = server.val.address;
    const clients = createPeerClients();

    const callPeer = async (address: string): Promise<void> => {
        const message = createMessage();
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
        const report = result.ok ? receiveMessage(result.val.reports) : undefined;
        if (report !== undefined) {
            fetchStaleSets(report);
        }
    };

    const collectOwnContribution = (): void => {
        lastCollectedAtMs = clock.monotonicMs();
        aggregation.collect(aggregation.nextContribution(ownAddress));
        aggregation.acknowledge(ownAddress, options.hostId);
        const report = aggregation.summarize();
        storeReport(report, JSON.stringify(report), 0);
    };

    /** Sends this host's contribution to a collector; returns whether it answered. */
    const contributeTo = async (address: string): Promise<boolean> => {
        const contribution = aggregation.nextContribution(address);
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
            ? receiveMessage(result.val.reports, ({ hostId }) => aggregation.acknowledge(address, hostId))
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

    const callOtherCollectors = (): void =>
        selection.groups().filter(other => other !== group).forEach(other => {
            const [address] = selection.candidates(other);
            if (address !== undefined) {
                void callPeer(address);
            }
        });

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
            const calls = Promise.all(samplePeers(options.fanout).map(callPeer));
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

    const run = async (): Promise<void> => {
        while (!stop.signal.aborted) {
            await runRound();
            evictExpiredReports();
            // Jitter keeps the rounds of hosts that started at the same time from coinciding.
            const intervalMs = isLargeGroup() ? COLLECT_INTERVAL_MS : options.intervalMs;
            await clock.sleep(intervalMs * (0.75 + random.nextFloat() / 2), stop.signal);
        }
    };
    const running = run();

    return Ok({
        address: ownAddress,
        setHosts: (hosts: readonly Peer[]) => {
            peers = hosts.map(({ address }) => address).filter(address => address !== ownAddress);
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
        unnotifiedShare: () => isLargeGroup() ? 1 : 0,
        propagationDelayMs: () =>
            isLargeGroup()
                ? COLLECT_INTERVAL_MS * 1.5
                : options.intervalMs * peers.length / Math.max(1, 2 * options.fanout),
        reports: () => reports,
        hasContactedPeers: () => hasContactedPeers,
        isRepresentative: () => !isLargeGroup() || isCollector(),
        isRelayed: () => isLargeGroup() && !isCollector() && clock.monotonicMs() - lastRelayedAtMs < RELAY_TIMEOUT_MS,
        [Symbol.asyncDispose]: async () => {
            stop.abort();
            await running;
            await clients[Symbol.asyncDispose]();
            await server.val[Symbol.asyncDispose]();
        },
    });
};
