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
import type { DocumentSet } from "../documents/documentSet";
import { decodeReports } from "./decodeReports";
import { encodeReports } from "./encodeReports";
import type { PeerReport } from "./peerReport";
import type { ReportEnvelope } from "./reportEnvelope";
import type { ReportExchange } from "./reportExchange";
import type { ReportExchangeOptions } from "./reportExchangeOptions";

/** A peer responds within a network round trip; after this time the peer or the connection is considered lost. */
const CALL_TIMEOUT_MS = 400;

const FETCH_TIMEOUT_MS = 1_000;

/** Time for the watch on the store to deliver a newer revision before it is fetched from a peer. */
const FETCH_DELAY_MS = 150;

/** Peers notified of a placement: all in a small group, a few in a large one, where notices are most of the work. */
const NOTICE_FANOUT = 12;
const LARGE_GROUP_NOTICE_FANOUT = 4;

/** Interval at which an unreachable peer is called until it responds. */
const UNREACHABLE_RETRY_MS = 1_000;

/** Up to this number of peers, hosts call each other often enough that reports need not be relayed. */
const MAXIMUM_DIRECT_PEERS = 12;

/** Factor by which rounds of a large group are longer, because its messages contain several reports. */
const LARGE_GROUP_INTERVAL_FACTOR = 2;

/** Maximum number of relayed reports in a message, of relays of each report, and age of a relayed report. */
const RELAYED_REPORTS_PER_MESSAGE = 8;
const MAXIMUM_RELAYS = 4;
const MAXIMUM_RELAYED_AGE_MS = 4_000;

/** A process without a report for this long is considered stopped. */
const REPORT_RETENTION_MS = 60_000;

interface ReceivedReport<Report> extends PeerReport<Report> {
    readonly text: string;
    relayCount: number;
}

const toDocumentSet = ({ revision, documents }: DocumentsResponse): DocumentSet => ({
    revision,
    entries: new Map(documents.map(document => [document.key, document])),
});

/** Starts the listener and the rounds of a host; fails if the listener can't be opened. */
export const createReportExchange = async <Report extends { readonly hostId: HostId; readonly sequence: number; }>(
    options: ReportExchangeOptions<Report>,
): Promise<Result<ReportExchange<Report>, Failure>> => {
    const { clock, random } = options;
    const stop = new AbortController();
    const reports = new Map<HostId, ReceivedReport<Report>>();
    const lastFailureAtMs = new Map<string, number>();
    const fetching = new Set<string>();
    let peers: readonly string[] = [];

    const isLargeGroup = (): boolean => peers.length > MAXIMUM_DIRECT_PEERS;

    const noticeFanout = (): number => isLargeGroup() ? LARGE_GROUP_NOTICE_FANOUT : NOTICE_FANOUT;

    const roundIntervalMs = (): number => options.intervalMs * (isLargeGroup() ? LARGE_GROUP_INTERVAL_FACTOR : 1);

    const receiveReport = ({ text, ageMs }: ReportEnvelope): Report | undefined => {
        const report = options.decodeReport(text);
        if (report === undefined || report.hostId === options.hostId) {
            return undefined;
        }
        const known = reports.get(report.hostId);
        if (known === undefined || report.sequence > known.report.sequence) {
            const reportedAtMs = clock.monotonicMs() - ageMs;
            reports.set(report.hostId, { hostId: report.hostId, report, reportedAtMs, text, relayCount: 0 });
            options.onReport(report, ageMs);
        }
        return report;
    };

    /** Processes the reports of a message; returns that of its sender, which is the first. */
    const receiveMessage = (bytes: Uint8Array): Report | undefined => {
        const envelopes = decodeReports(bytes);
        return envelopes?.map(receiveReport)[0];
    };

    /** Selects other hosts' reports, the least relayed first and the newest among equals, and counts the relay. */
    const takeReportsToRelay = (): readonly ReportEnvelope[] => {
        if (!isLargeGroup()) {
            return [];
        }
        const nowMs = clock.monotonicMs();
        const chosen = [...reports.values()]
            .filter(({ reportedAtMs, relayCount }) =>
                relayCount < MAXIMUM_RELAYS && nowMs - reportedAtMs < MAXIMUM_RELAYED_AGE_MS
            )
            .sort((left, right) => left.relayCount - right.relayCount || right.reportedAtMs - left.reportedAtMs)
            .slice(0, RELAYED_REPORTS_PER_MESSAGE);
        return chosen.map(report => {
            report.relayCount++;
            return { text: report.text, ageMs: Math.round(nowMs - report.reportedAtMs) };
        });
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
        }
        else {
            lastFailureAtMs.set(address, clock.monotonicMs());
        }
    };

    const createMessage = (): ReportMessage => ({
        reports: encodeReports([{ text: JSON.stringify(options.createReport()), ageMs: 0 }, ...takeReportsToRelay()]),
    });

    const handleExchange = (request: ReportMessage): Result<ReportMessage, Failure> =>
        receiveMessage(request.reports) === undefined ? Err(createFailure(ErrorCode.BadRequest)) : Ok(createMessage());

    const handleNotice = (notice: LoadNotice): Result<LoadNoticeResponse, Failure> => {
        options.onNotice(notice);
        return Ok({});
    };

    const handleFetchDocuments = (request: DocumentsRequest): Result<DocumentsResponse, Failure> => {
        const set = options.documents(request.set);
        if (set === undefined || set.revision <= request.knownRevision) {
            return Ok({ revision: 0, documents: [] });
        }
        return Ok({ revision: set.revision, documents: [...set.entries.values()] });
    };

    const server = await createPeerServer({
        address: options.address,
        services: [{
            definition: ReportServiceService,
            implementation: {
                exchange: createUnaryHandler(handleExchange),
                notify: createUnaryHandler(handleNotice),
                fetchDocuments: createUnaryHandler(handleFetchDocuments),
            },
        }],
        shutdownTimeoutMs: CALL_TIMEOUT_MS,
    });
    if (server.err) {
        return server;
    }
    const clients = createPeerClients();

    const fetchSet = async (address: PeerAddress, set: string): Promise<void> => {
        const key = `${address} ${set}`;
        if (fetching.has(key)) {
            return;
        }
        fetching.add(key);
        const knownRevision = options.documents(set)?.revision ?? 0;
        const result = await clients.call(
            address,
            ReportServiceService.fetchDocuments,
            { set, knownRevision },
            FETCH_TIMEOUT_MS,
        );
        fetching.delete(key);
        if (result.ok && result.val.revision > 0) {
            options.onDocuments(set, toDocumentSet(result.val));
        }
    };

    const fetchStaleSets = (address: PeerAddress, report: Report): void => {
        if (options.staleSets(report).length === 0) {
            return;
        }
        const isAnySetMissing = options.staleSets(report).some(set => options.documents(set) === undefined);
        clock.setTimer(isAnySetMissing ? 0 : FETCH_DELAY_MS, () => {
            options.staleSets(report).forEach(set => void fetchSet(address, set));
        });
    };

    const callPeer = async (address: string): Promise<void> => {
        const peer = address as PeerAddress;
        const result = await clients.call(
            peer,
            ReportServiceService.exchange,
            createMessage(),
            CALL_TIMEOUT_MS,
        );
        if (stop.signal.aborted) {
            return;
        }
        setReachable(address, result.ok, result.ok ? "answered" : String(result.val.details?.["status"]));
        const report = result.ok ? receiveMessage(result.val.reports) : undefined;
        if (report !== undefined) {
            fetchStaleSets(peer, report);
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

    const run = async (): Promise<void> => {
        while (!stop.signal.aborted) {
            samplePeers(options.fanout).forEach(address => void callPeer(address));
            evictExpiredReports();
            // Jitter keeps the rounds of hosts that started at the same time from coinciding.
            await clock.sleep(roundIntervalMs() * (0.75 + random.nextFloat() / 2), stop.signal);
        }
    };
    const running = run();

    return Ok({
        address: server.val.address,
        setPeers: addresses => {
            peers = addresses;
        },
        notify: notice =>
            samplePeers(noticeFanout()).forEach(address =>
                // Failures are ignored: the rounds track which peers are reachable.
                void clients.call(address as PeerAddress, ReportServiceService.notify, notice, CALL_TIMEOUT_MS)
            ),
        unnotifiedShare: () => Math.max(0, 1 - noticeFanout() / Math.max(1, peers.length)),
        propagationDelayMs: () =>
            isLargeGroup()
                ? roundIntervalMs() * Math.log2(peers.length)
                : roundIntervalMs() * peers.length / Math.max(1, 2 * options.fanout),
        reports: () => reports,
        [Symbol.asyncDispose]: async () => {
            stop.abort();
            await running;
            await clients[Symbol.asyncDispose]();
            await server.val[Symbol.asyncDispose]();
        },
    });
};
