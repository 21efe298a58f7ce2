import type { ConfigurationFollower } from "@ibislanding/configuration";
import type { Membership } from "@ibislanding/membership";
import type { PeerAddress, PeerClients } from "@ibislanding/protocol";

/** The group of the system's processes, as one of them takes part in it. */
export interface PeerGroup extends AsyncDisposable {
    readonly membership: Membership;
    readonly configuration: ConfigurationFollower;
    readonly clients: PeerClients;
    /** Address of this process's internal listener. */
    readonly address: PeerAddress;
}
