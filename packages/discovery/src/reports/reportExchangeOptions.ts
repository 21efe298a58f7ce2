import type { Clock, HostId, RandomSource } from "@ibislanding/core";
import type { LoadNotice } from "@ibislanding/protocol";
import type { DocumentSet } from "../documents/documentSet";

/** What a host reports and how it listens. */
export interface ReportExchangeOptions<Report extends { readonly hostId: HostId; readonly sequence: number; }> {
    /** Id of this process. */
    readonly hostId: HostId;
    /** `ip:port` of the listener; the same port is used on every host. */
    readonly address: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Time between two rounds of a small group. */
    readonly intervalMs: number;
    /** Number of peers called in a round. */
    readonly fanout: number;
    readonly createReport: () => Report;
    /** Decodes a peer's report; undefined when it is malformed. */
    readonly decodeReport: (text: string) => Report | undefined;
    /** Called with each newer report of a peer and the time since it was made. */
    readonly onReport: (report: Report, ageMs: number) => void;
    readonly onNotice: (notice: LoadNotice) => void;
    /** The named sets that peers may fetch. */
    readonly documents: (set: string) => DocumentSet | undefined;
    /** Sets of which the peer that sent this report knows a newer revision. */
    readonly staleSets: (report: Report) => readonly string[];
    readonly onDocuments: (set: string, documents: DocumentSet) => void;
    readonly onPeerReachabilityChange: (address: string, isReachable: boolean, reason: string) => void;
}
