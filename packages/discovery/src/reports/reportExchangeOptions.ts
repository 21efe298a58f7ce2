import type { Clock, HostId, RandomSource } from "@ibislanding/core";
import type {
    LoadNotice,
    StreamOrigin as StreamOriginMessage,
    StreamOriginQuery,
    StreamOriginReply,
} from "@ibislanding/protocol";
import type { DocumentSet } from "../documents/documentSet";
import type { ReportAggregation } from "./reportAggregation";

/** Fields of a report that the exchange itself uses. */
interface ExchangedReport {
    readonly hostId: HostId;
    readonly sequence: number;
    /** `ip:port` of the sender's listener for other hosts. */
    readonly address: string;
    /** Whether the sender is in contact with the store. */
    readonly isInContact: boolean;
}

/** Listener, timing, report codec and callbacks of a report exchange. */
export interface ReportExchangeOptions<Report extends ExchangedReport> {
    /** Id of this process. */
    readonly hostId: HostId;
    /** `ip:port` of the listener; the same port is used on every host. */
    readonly address: string;
    /** Connections of other hosts that may be open at the same time. */
    readonly maximumConnections?: number;
    /** Group of this host until it is listed among the hosts. */
    readonly group: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Interval between rounds in a small group. */
    readonly intervalMs: number;
    /** Number of peers called in each round of a small group. */
    readonly fanout: number;
    readonly createReport: () => Report;
    /** Sums of reports, for a large group. */
    readonly aggregation: ReportAggregation<Report>;
    /** Decodes a peer's report; returns undefined if it is malformed. */
    readonly decodeReport: (text: string) => Report | undefined;
    /** Called with each newer report or summary of a peer and the time since it was created. */
    readonly onReport: (report: Report, ageMs: number) => void;
    /** Called with each newer report in an answer to a call of this host; it was created at most `ageMs` ago. */
    readonly onAnswer: (report: Report, ageMs: number) => void;
    readonly onNotice: (notice: LoadNotice) => void;
    readonly onStreamOrigin: (origin: StreamOriginMessage) => void;
    readonly findStreamOrigin: (query: StreamOriginQuery) => StreamOriginReply;
    /** Returns a set of documents by name, for peers to fetch; undefined if it is not known yet. */
    readonly documents: (set: string) => DocumentSet | undefined;
    /** Names of the sets of which the sender of the report has a newer position. */
    readonly staleSets: (report: Report) => readonly string[];
    /** Time allowed for the store to deliver a newer version of a set before it is fetched from a peer. */
    readonly fetchDelayMs: (set: string) => number;
    readonly onDocuments: (set: string, documents: DocumentSet) => void;
    readonly onPeerReachabilityChange: (address: string, isReachable: boolean, reason: string) => void;
}
