import type { StartHostRequest, UpstreamRecord } from "@ibislanding/platform";
import type { StandInServer } from "../server/standInServer";

/** A host that the cloud stand-in knows. */
export interface CloudHost {
    /** Undefined for a host that was registered by a process of its own. */
    readonly request: StartHostRequest | undefined;
    readonly record: UpstreamRecord;
    readonly server: StandInServer | undefined;
    phase: "live" | "leaving" | "gone";
}
