import type { Clock, HostId, RandomSource } from "@ibislanding/core";
import type { LoadNotice } from "@ibislanding/protocol";
import type { DocumentSet } from "../documents/documentSet";

/** Listener, timing, report codec and callbacks of a report exchange. */
export interface ReportExchangeOptions<Report extends { readonly hostId: HostId; readonly sequence: number; }> {
    /** Id of this process. */
    readonly hostId: HostId;
    /** `ip:port` of the listener; the same port is used on every host. */
    readonly address: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Interval between rounds in a small group. */
    readonly intervalMs: number;
    /** Number of peers called in each round. */
    readonly fanout: number;
    readonly createReport: () => Report;
    /** Decodes a peer's report; returns undefined if it is malformed. */
    readonly decodeReport: (text: string) => Report | undefined;
    /** Called with each newer report of a peer and the time since it was created. */
    readonly onReport: (report: Report, ageMs: number) => void;
    readonly onNotice: (notice: LoadNotice) => void;
    /** Returns a set of documents by name, for peers to fetch; undefined if it is not known yet. */
    readonly documents: (set: string) => DocumentSet | undefined;
    /** Names of the sets of which the sender of the report has a newer revision. */
    readonly staleSets: (report: Report) => readonly string[];
    readonly onDocuments: (set: string, documents: DocumentSet) => void;
    readonly onPeerReachabilityChange: (address: string, isReachable: boolean, reason: string) => void;
}
