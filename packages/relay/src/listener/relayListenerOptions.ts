import type { ConnectionCloseCause, ConnectionLimits } from "@ibislanding/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AcceptedRelay } from "./acceptedRelay";

/** Dependencies of the listener. */
export interface RelayListenerOptions {
    /** `ip:port` to listen on. */
    readonly address: string;
    readonly connections: ConnectionLimits;
    readonly onConnectionClosed: (cause: ConnectionCloseCause) => void;
    readonly isKnownSender: (address: string) => boolean;
    readonly reachesUpstreams: () => boolean;
    readonly requestsInFlight: () => number;
    readonly handle: (request: IncomingMessage, response: ServerResponse, relay: AcceptedRelay) => void;
    readonly onAccepted: () => void;
    readonly onRefused: (refusal: { readonly reason: string; readonly sender: string | undefined; }) => void;
}
