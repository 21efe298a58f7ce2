import type { UpstreamTable } from "@ibislanding/gateway";
import type { EdgeOptions } from "./edgeOptions";
import type { HostEntry } from "./hostEntry";

/** Dependencies of the relay of a host. */
export interface HostRelayOptions extends Pick<EdgeOptions, "settings" | "clock" | "random" | "log" | "metrics"> {
    readonly upstreams: UpstreamTable;
    /** The clock that the hosts share. */
    readonly sharedNowMs: () => number;
    readonly registeredHosts: () => readonly HostEntry[];
    readonly liveHostAddresses: () => readonly string[];
    /** Addresses of the hosts that reach no upstream, according to the other hosts' reports. */
    readonly reportedCutOff: () => ReadonlySet<string>;
    /** Tells the other hosts at once that `reachesUpstreams` has changed. */
    readonly announce: () => void;
}
