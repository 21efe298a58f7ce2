import type { Failure, HostId } from "@ibislanding/core";
import type {
    LoadNotice,
    StreamOrigin as StreamOriginMessage,
    StreamOriginQuery,
    StreamOriginReply,
} from "@ibislanding/protocol";
import type { Result } from "ts-results";
import type { Peer } from "./peer";
import type { PeerReport } from "./peerReport";

/** Exchanges reports, load notices and documents with the other hosts. */
export interface ReportExchange<Report> extends AsyncDisposable {
    /** `ip:port` of the listener. */
    readonly address: string;
    /** Replaces the hosts of the deployment; those of a group are listed in order of preference as its collector. */
    readonly setHosts: (hosts: readonly Peer[]) => void;
    /**
     * Notifies the peers of a small group of a placement immediately. Unreachable peers may be left out. If a notice is
     * lost, the next report contains the same load.
     */
    readonly notify: (notice: LoadNotice) => void;
    /** Asks a host to remember the origin of a stream; fails if it does not answer in time. */
    readonly recordStreamOrigin: (address: string, origin: StreamOriginMessage) => Promise<Result<unknown, Failure>>;
    /** Asks a host for the origin of a stream. */
    readonly findStreamOrigin: (
        address: string,
        query: StreamOriginQuery,
    ) => Promise<Result<StreamOriginReply, Failure>>;
    /** Sends this host's report at once: to all peers of a small group, or to the collector. */
    readonly announce: () => void;
    /** Fraction of the peers that a notice is not sent to. */
    readonly unnotifiedShare: () => number;
    /** Expected time until a host's report has reached another host. */
    readonly propagationDelayMs: () => number;
    /** Latest reports of the peers of a small group, or latest summaries of the collectors, if not older than a minute. */
    readonly reports: () => ReadonlyMap<HostId, PeerReport<Report>>;
    /** Whether the first peers that were called have answered or failed to, or half a second has passed. */
    readonly hasContactedPeers: () => boolean;
    /** Whether this host may act for the group: in a large one, whether it currently is a collector. */
    readonly isRepresentative: () => boolean;
    /** Whether members of a large group report to this host and rely on it. */
    readonly isCollector: () => boolean;
    /** Whether a collector that is in contact with the store tells this host when documents change. */
    readonly isRelayed: () => boolean;
}
