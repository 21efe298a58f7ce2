import type { PeerAddress, PeerClients } from "@ibislanding/protocol";

/** Dependencies and limits of the gRPC port to other followers. */
export interface ConfigurationPeersOptions {
    readonly clients: PeerClients;
    /** Returns up to `count` random live peers, never this process itself. */
    readonly sample: (count: number) => readonly PeerAddress[];
    /** Larger documents are sent only to peers whose response to an announcement shows that they need them. */
    readonly maximumInlineBytes?: number;
}
