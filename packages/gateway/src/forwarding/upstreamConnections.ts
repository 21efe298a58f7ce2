import type { Agent } from "node:http";
import type { Socket } from "node:net";
import type { UpstreamAddress } from "../upstreams/upstreamAddress";

/** Connections to one process of one upstream; a restarted upstream gets new ones. */
export interface UpstreamConnections {
    readonly agent: Agent;
    readonly address: UpstreamAddress;
    /** Sets the time for which the upstream keeps an idle connection open. */
    readonly setKeepAlive: (socket: Socket, keepAliveMs: number) => void;
    readonly recordRoundTrip: (roundTripMs: number) => void;
    /** Closes idle connections; those in use are closed after their responses. */
    readonly retire: () => void;
}
