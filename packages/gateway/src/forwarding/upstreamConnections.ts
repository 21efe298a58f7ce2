import type { RequestId } from "@ibislanding/core";
import type { Agent } from "node:http";
import type { Socket } from "node:net";
import type { UpstreamAddress } from "../upstreams/upstreamAddress";

/** Connections to one process of one upstream; a restarted upstream gets new ones. */
export interface UpstreamConnections {
    readonly agent: Agent;
    readonly address: UpstreamAddress;
    /** Records that the upstream has refused a request on this connection. */
    readonly recordRefusal: (socket: Socket, requestId: RequestId | undefined) => void;
    /** Whether a request of this id was refused on this connection lately. */
    readonly hasRefused: (socket: Socket | null, requestId: RequestId | undefined) => boolean;
    /** Sets the time for which the upstream keeps an idle connection open. */
    readonly setKeepAlive: (socket: Socket, keepAliveMs: number) => void;
    readonly recordRoundTrip: (roundTripMs: number) => void;
    /** Closes idle connections; those in use are closed after their responses. */
    readonly retire: () => void;
}
