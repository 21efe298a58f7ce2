import type { ConfigurationFollower } from "@ibislanding/configuration";
import type { Membership } from "@ibislanding/membership";
import type { PeerAddress, PeerClients } from "@ibislanding/protocol";

/** Connection of this process to the other processes of the system. */
export interface PeerGroup extends AsyncDisposable {
    readonly membership: Membership;
    readonly configuration: ConfigurationFollower;
    readonly clients: PeerClients;
    /** Address of the internal listener of this process. */
    readonly address: PeerAddress;
}
