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
import type { CarriedReport } from "./carriedReport";
import { decodeReports } from "./decodeReports";
import { encodeReports } from "./encodeReports";
import type { PeerReport } from "./peerReport";
import type { ReportExchange } from "./reportExchange";
import type { ReportExchangeOptions } from "./reportExchangeOptions";

/** Answers of a peer take a link's round trip; a longer silence means that the peer or the connection is gone. */
const CALL_TIMEOUT_MS = 400;

const FETCH_TIMEOUT_MS = 1_000;

/** Time that a watch gets to deliver what a peer already knows, before the peer is asked for it. */
const FETCH_DELAY_MS = 150;

/** Peers told of one placement: all of a small group, a few of a large one, where most of the work is calls of this kind. */
const NOTICE_FANOUT = 12;
const LARGE_GROUP_NOTICE_FANOUT = 4;

/** An unreachable peer is called at this interval until it answers. */
const UNREACHABLE_RETRY_MS = 1_000;

/** Number of peers up to which each hears each other often enough without reports being passed on. */
const DIRECT_PEERS = 12;

/** Rounds of a large group are longer, as their messages carry several reports. */
const LARGE_GROUP_FACTOR = 2;

/** Reports of others in a message, how often each is passed on, and the age up to which that is of use. */
const RELAYED_REPORTS = 8;
const MOST_RELAYS = 4;
const RELAYED_AGE_MS = 4_000;

/** A process that was not heard of for this long has ended. */
const FORGET_MS = 60_000;

interface HeardReport<Report> extends PeerReport<Report> {
    readonly text: string;
    relays: number;
}

const toDocumentSet = ({ revision, documents }: DocumentsResponse): DocumentSet => ({
    revision,
    entries: new Map(documents.map(document => [document.key, document])),
});

/** Starts the listener and the rounds of a host. */
export const createReportExchange = async <Report extends { readonly hostId: HostId; readonly sequence: number; }>(
    options: ReportExchangeOptions<Report>,
): Promise<Result<ReportExchange<Report>, Failure>> => {
    const { clock, random } = options;
    const stop = new AbortController();
    const reports = new Map<HostId, HeardReport<Report>>();
    const unreachableSinceMs = new Map<string, number>();
    const fetching = new Set<string>();
    let peers: readonly string[] = [];

    const isLargeGroup = (): boolean => peers.length > DIRECT_PEERS;

    const noticeFanout = (): number => isLargeGroup() ? LARGE_GROUP_NOTICE_FANOUT : NOTICE_FANOUT;

    const roundMs = (): number => options.intervalMs * (isLargeGroup() ? LARGE_GROUP_FACTOR : 1);

    const receiveOne = ({ text, ageMs }: CarriedReport): Report | undefined => {
        const report = options.decodeReport(text);
        if (report === undefined || report.hostId === options.hostId) {
            return undefined;
        }
        const known = reports.get(report.hostId);
        if (known === undefined || report.sequence > known.report.sequence) {
            const heardAtMs = clock.monotonicMs() - ageMs;
            reports.set(report.hostId, { hostId: report.hostId, report, heardAtMs, text, relays: 0 });
            options.onReport(report, ageMs);
        }
        return report;
    };

    /** Takes the reports of a message; returns that of its sender, which is the first. */
    const receive = (bytes: Uint8Array): Report | undefined => {
        const carried = decodeReports(bytes);
        return carried?.map(receiveOne)[0];
    };

    /** Reports of others that few hosts have got from this one, newest first. */
    const takeRelayed = (): readonly CarriedReport[] => {
        if (!isLargeGroup()) {
            return [];
        }
        const nowMs = clock.monotonicMs();
        const chosen = [...reports.values()]
            .filter(({ heardAtMs, relays }) => relays < MOST_RELAYS && nowMs - heardAtMs < RELAYED_AGE_MS)
            .sort((left, right) => left.relays - right.relays || right.heardAtMs - left.heardAtMs)
            .slice(0, RELAYED_REPORTS);
        return chosen.map(report => {
            report.relays++;
            return { text: report.text, ageMs: Math.round(nowMs - report.heardAtMs) };
        });
    };

    const forgetOld = (): void => {
        const oldestMs = clock.monotonicMs() - FORGET_MS;
        [...reports.values()].filter(({ heardAtMs }) => heardAtMs < oldestMs).forEach(({ hostId }) =>
            reports.delete(hostId)
        );
    };

    const setReachable = (address: string, reachable: boolean, reason: string): void => {
        if (reachable === unreachableSinceMs.has(address)) {
            options.onPeer(address, reachable, reason);
        }
        if (reachable) {
            unreachableSinceMs.delete(address);
        }
        else {
            unreachableSinceMs.set(address, clock.monotonicMs());
        }
    };

    const createMessage = (): ReportMessage => ({
        reports: encodeReports([{ text: JSON.stringify(options.createReport()), ageMs: 0 }, ...takeRelayed()]),
    });

    const exchange = (request: ReportMessage): Result<ReportMessage, Failure> =>
        receive(request.reports) === undefined ? Err(createFailure(ErrorCode.BadRequest)) : Ok(createMessage());

    const receiveNotice = (notice: LoadNotice): Result<LoadNoticeResponse, Failure> => {
        options.onNotice(notice);
        return Ok({});
    };

    const serveDocuments = (request: DocumentsRequest): Result<DocumentsResponse, Failure> => {
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
                exchange: createUnaryHandler(exchange),
                notify: createUnaryHandler(receiveNotice),
                fetchDocuments: createUnaryHandler(serveDocuments),
            },
        }],
        shutdownTimeoutMs: CALL_TIMEOUT_MS,
    });
    if (server.err) {
        return server;
    }
    const clients = createPeerClients();

    const fetch = async (address: PeerAddress, set: string): Promise<void> => {
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

    const fetchStale = (address: PeerAddress, report: Report): void => {
        if (options.staleSets(report).length === 0) {
            return;
        }
        const isCold = options.staleSets(report).some(set => options.documents(set) === undefined);
        clock.setTimer(isCold ? 0 : FETCH_DELAY_MS, () => {
            options.staleSets(report).forEach(set => void fetch(address, set));
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
        const report = result.ok ? receive(result.val.reports) : undefined;
        if (report !== undefined) {
            fetchStale(peer, report);
        }
    };

    const isDue = (address: string): boolean =>
        clock.monotonicMs() - (unreachableSinceMs.get(address) ?? -Infinity) >= UNREACHABLE_RETRY_MS;

    const choosePeers = (count: number): readonly string[] =>
        peers
            .filter(isDue)
            .map(address => ({ address, order: random.nextFloat() }))
            .sort((left, right) => left.order - right.order)
            .slice(0, count)
            .map(({ address }) => address);

    const run = async (): Promise<void> => {
        while (!stop.signal.aborted) {
            choosePeers(options.fanout).forEach(address => void callPeer(address));
            forgetOld();
            // Rounds of different hosts must not fall together after they started together.
            await clock.sleep(roundMs() * (0.75 + random.nextFloat() / 2), stop.signal);
        }
    };
    const running = run();

    return Ok({
        address: server.val.address,
        setPeers: addresses => {
            peers = addresses;
        },
        notify: notice =>
            choosePeers(noticeFanout()).forEach(address =>
                // A failure needs no answer here: the rounds watch which peers can be reached.
                void clients.call(address as PeerAddress, ReportServiceService.notify, notice, CALL_TIMEOUT_MS)
            ),
        unheardShare: () => Math.max(0, 1 - noticeFanout() / Math.max(1, peers.length)),
        typicalAgeMs: () =>
            isLargeGroup()
                ? roundMs() * Math.log2(peers.length)
                : roundMs() * peers.length / Math.max(1, 2 * options.fanout),
        reports: () => reports,
        [Symbol.asyncDispose]: async () => {
            stop.abort();
            await running;
            await clients[Symbol.asyncDispose]();
            await server.val[Symbol.asyncDispose]();
        },
    });
};
