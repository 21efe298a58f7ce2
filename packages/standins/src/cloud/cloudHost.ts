import type { StartHostRequest, UpstreamRecord } from "@ibislanding/platform";
import type { StandInServer } from "../server/standInServer";

/** A host managed by the cloud stand-in: one that it started, or one from the host list. */
export interface CloudHost {
    /** Undefined for a host that runs in a separate process and registered itself. */
    readonly request: StartHostRequest | undefined;
    readonly record: UpstreamRecord;
    readonly server: StandInServer | undefined;
    phase: "live" | "leaving" | "gone";
}
