import type { HostId } from "@ibislanding/core";
import type { LoadNotice } from "@ibislanding/protocol";
import type { PeerReport } from "./peerReport";

/** Exchanges reports, load notices and documents with the other hosts. */
export interface ReportExchange<Report> extends AsyncDisposable {
    /** `ip:port` of the listener. */
    readonly address: string;
    /** Replaces the addresses of the other hosts. */
    readonly setPeers: (addresses: readonly string[]) => void;
    /**
     * Notifies peers of a placement immediately: all in a small group, a sample in a large one. Unreachable peers may
     * be left out. If a notice is lost, the next report contains the same load.
     */
    readonly notify: (notice: LoadNotice) => void;
    /** Fraction of the peers that a notice is not sent to. */
    readonly unnotifiedShare: () => number;
    /** Expected time until a host's report has reached another host, computed from the number of hosts. */
    readonly propagationDelayMs: () => number;
    /** Latest report of each peer, if not older than a minute. */
    readonly reports: () => ReadonlyMap<HostId, PeerReport<Report>>;
}
