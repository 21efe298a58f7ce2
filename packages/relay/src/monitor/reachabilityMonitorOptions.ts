import type { Clock, RandomSource } from "@ibislanding/core";
import type { ProbeTarget } from "../decisions/probeTarget";

/** Dependencies of the monitor. */
export interface ReachabilityMonitorOptions {
    readonly clock: Clock;
    readonly random: Pick<RandomSource, "nextInt">;
    /** The registered upstreams. */
    readonly targets: () => readonly ProbeTarget[];
    /** Opens a connection and closes it again; ends within 500 ms. */
    readonly probe: (address: ProbeTarget["address"]) => Promise<"listening" | "refused" | "unknown">;
    readonly onChange: (reachesUpstreams: boolean) => void;
}
