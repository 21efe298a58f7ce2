import type { UpstreamId } from "@ibislanding/core";
import type { MachineOffer, StartHostRequest } from "@ibislanding/platform";
import type { StandInServer } from "../server/standInServer";

/** How the cloud stand-in is set up. */
export interface CloudStandInOptions {
    readonly hostListUrl: string;
    readonly offers: readonly MachineOffer[];
    /** Whether starts and stops with an old fencing number are refused. */
    readonly checksFencing: boolean;
    /** Time between the order of a host and its appearance in the host list. */
    readonly startDelayMs: number;
    /** Services whose replicas are plain services; the others are engines. */
    readonly plainServices: readonly string[];
    /** Starts what runs on a host, in this process. */
    readonly startUpstream: (upstreamId: UpstreamId, request: StartHostRequest) => Promise<StandInServer>;
}
