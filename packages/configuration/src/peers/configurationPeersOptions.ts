import type { PeerAddress, PeerClients } from "@ibislanding/protocol";

/** What the gRPC port to other followers works with. */
export interface ConfigurationPeersOptions {
    readonly clients: PeerClients;
    /** Returns up to `count` random live peers, never this process itself. */
    readonly sample: (count: number) => readonly PeerAddress[];
    /** Documents above this size are sent only to peers that answered that they need them. */
    readonly maximumInlineBytes?: number;
}
