import type { HostId } from "@ibislanding/core";
import type { LoadNotice } from "@ibislanding/protocol";
import type { PeerReport } from "./peerReport";

/** Exchanges reports with the other hosts. */
export interface ReportExchange<Report> extends AsyncDisposable {
    /** `ip:port` of the listener. */
    readonly address: string;
    /** Replaces the addresses of the other hosts. */
    readonly setPeers: (addresses: readonly string[]) => void;
    /** Tells peers of a placement at once; a lost notice is made up for by the next report. */
    readonly notify: (notice: LoadNotice) => void;
    /** Part of the peers that a notice does not reach. */
    readonly unnotifiedShare: () => number;
    /** Time in which news of a host reaches another, as the number of hosts gives it. */
    readonly propagationDelayMs: () => number;
    /** Last report of each peer that was heard within the last minute. */
    readonly reports: () => ReadonlyMap<HostId, PeerReport<Report>>;
}
