import type { UpstreamId } from "@ibislanding/core";
import type { MachineOffer, StartHostRequest } from "@ibislanding/platform";
import type { StandInServer } from "../server/standInServer";

/** Options of the cloud stand-in. */
export interface CloudStandInOptions {
    readonly hostListUrl: string;
    readonly offers: readonly MachineOffer[];
    /** Whether starts and stops with a stale fencing number are rejected. */
    readonly checksFencing: boolean;
    /** Time from a start request until the host is booted and registered in the host list. */
    readonly startDelayMs: number;
    /** Services whose replicas are plain services; replicas of all others are engines. */
    readonly plainServices: readonly string[];
    /** Starts the upstream that runs on a host, as a server in this process. */
    readonly startUpstream: (upstreamId: UpstreamId, request: StartHostRequest) => Promise<StandInServer>;
}
