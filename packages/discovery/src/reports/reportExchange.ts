import type { HostId } from "@ibislanding/core";
import type { PeerReport } from "./peerReport";

/** Exchanges reports with the other hosts. */
export interface ReportExchange<Report> extends AsyncDisposable {
    /** `ip:port` of the listener. */
    readonly address: string;
    /** Replaces the addresses of the other hosts. */
    readonly setPeers: (addresses: readonly string[]) => void;
    /** Last report of each peer, fresh or not. */
    readonly reports: () => ReadonlyMap<HostId, PeerReport<Report>>;
}
