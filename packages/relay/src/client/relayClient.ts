import type { RelayPeer } from "../decisions/relayPeer";
import type { RelaySend } from "./relaySend";
import type { RelaySendResult } from "./relaySendResult";

/** Passes requests on to peers; disposing of it closes its connections. */
export interface RelayClient extends AsyncDisposable {
    /** Passes a request on to one peer; if that peer did not run it for reasons of its own, to another one. */
    readonly send: (request: RelaySend) => Promise<RelaySendResult>;
    /** Whether one of the peers is not known to be unable to help. */
    readonly canHelp: (peers: readonly RelayPeer[]) => boolean;
}
