import type { Clock } from "@ibislanding/core";
import type { CrashSuspect } from "@ibislanding/quarantine";
import type { ProbeResult } from "./probeResult";
import type { UpstreamAddress } from "./upstreamAddress";
import type { UpstreamTable } from "./upstreamTable";

/** Dependencies of a crash detector. */
export interface CrashDetectorOptions {
    readonly clock: Clock;
    /** The clock that the hosts share. */
    readonly sharedNowMs: () => number;
    readonly upstreams: Pick<UpstreamTable, "isDeparting" | "isLeaving" | "onDeparture">;
    readonly probe: (address: UpstreamAddress) => Promise<ProbeResult>;
    /** Called for each request that lost its answer in a crash. */
    readonly onCrash: (suspect: CrashSuspect) => void;
}
