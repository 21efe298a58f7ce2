import type { HeldMemory, LoopDelayMeter } from "@ibislanding/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CapacityQueue } from "../brittle/capacityQueue";
import type { StreamActivity } from "../streams/streamActivity";
import type { ClientResponse } from "./clientResponse";
import type { ConnectionPool } from "./connectionPool";
import type { GatewayOptions } from "./gatewayOptions";
import type { RelayedRequest } from "./relayedRequest";

/** A client request with the dependencies needed to serve it. */
export interface ServeOptions extends GatewayOptions {
    readonly pool: ConnectionPool;
    readonly capacityQueue: CapacityQueue;
    readonly loopDelay: LoopDelayMeter;
    readonly streamActivity: StreamActivity;
    readonly memory: HeldMemory;
    /** Room for the parts of the request's body. */
    readonly parts: HeldMemory;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly clientResponse: ClientResponse;
    /** Set if another host relays the request to this one. */
    readonly relayed: RelayedRequest | undefined;
    /** Whether the process refuses new requests. */
    readonly refusesNewRequests: boolean;
    /** Whether the process stops so soon that a request with this deadline, on the monotonic clock, is no longer passed on. */
    readonly isTooLateToRun: (dueAtMs: number) => boolean;
    /**
     * Registers a callback for the moment at which the unfinished requests of a stopping process have to end; returns a function
     * that cancels it.
     */
    readonly onStopped: (callback: () => void) => () => void;
}
