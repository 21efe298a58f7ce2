import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { UpstreamConnections } from "./upstreamConnections";

/** Connections to all upstreams; none is reused after its upstream's registration has ended. */
export interface ConnectionPool extends AsyncDisposable {
    readonly connectionsOf: (upstream: UpstreamRecord) => UpstreamConnections;
    /** Retires connections to upstreams that are no longer registered. */
    readonly retireUnregistered: () => void;
}
