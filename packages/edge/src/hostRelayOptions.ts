import type { UpstreamTable } from "@ibislanding/gateway";
import type { ConnectionCloseCause } from "@ibislanding/runtime";
import type { EdgeOptions } from "./edgeOptions";
import type { HostEntry } from "./hostEntry";
import type { ReachRow } from "./reachRow";

/** Dependencies of the relay of a host. */
export interface HostRelayOptions extends Pick<EdgeOptions, "settings" | "clock" | "random" | "log" | "metrics"> {
    readonly upstreams: UpstreamTable;
    /** The clock that the hosts share. */
    readonly sharedNowMs: () => number;
    readonly registeredHosts: () => readonly HostEntry[];
    readonly liveHostAddresses: () => readonly string[];
    /** What other hosts report of upstreams that they do not reach. */
    readonly reportedReach: () => readonly ReachRow[];
    /** Tells the other hosts at once that this host has begun or ceased to reach the upstreams of a service. */
    readonly announce: () => void;
    /** Called when the listener for relayed requests closes a connection. */
    readonly onConnectionClosed: (cause: ConnectionCloseCause) => void;
}
