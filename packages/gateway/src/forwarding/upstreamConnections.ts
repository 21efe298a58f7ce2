import type { Agent } from "node:http";
import type { Socket } from "node:net";
import type { UpstreamAddress } from "../upstreams/upstreamAddress";

/** Connections to one start of one upstream. */
export interface UpstreamConnections {
    readonly agent: Agent;
    readonly address: UpstreamAddress;
    /** Notes for how long the upstream keeps an idle connection. */
    readonly setKeepAlive: (socket: Socket, keepAliveMs: number) => void;
    readonly recordRoundTrip: (roundTripMs: number) => void;
    /** Closes idle connections and lets those in use close after their answers. */
    readonly retire: () => void;
}
