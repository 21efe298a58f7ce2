import type { LevelState, Returns } from "@ibislanding/admission";
import type { HostId } from "@ibislanding/core";
import type { HostReport } from "../hostReport";

/** Admission level of this host, and its exchange with other hosts. */
export interface Admission {
    readonly level: LevelState;
    readonly returns: Returns;
    /** Applies the demand in the report of a peer; rows that can't be read or are of an unknown service are dropped. */
    readonly observePeer: (hostId: HostId, demand: HostReport["demand"]) => void;
}
