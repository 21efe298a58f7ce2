import type { Clock, HostId, RandomSource } from "@ibislanding/core";
import type { HostList, KeyValueStore } from "@ibislanding/platform";
import type { PeerService } from "@ibislanding/protocol";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { ListenerSettings, Logger, ProcessSettings } from "@ibislanding/runtime";
import type { PeerGroup } from "./peerGroup";

/** What a process brings into its group. */
export interface PeerGroupOptions {
    readonly hostId: HostId;
    /** `entry`, `control` or `admin`. */
    readonly role: string;
    readonly process: ProcessSettings;
    readonly listener: ListenerSettings;
    /** Internal addresses of other processes, besides those in the host list. */
    readonly seeds: readonly string[];
    readonly store: KeyValueStore;
    readonly hostList: HostList;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Called with each newer configuration. */
    readonly onConfiguration: (document: ConfigurationDocument) => void;
    /** Further services of the internal listener; they are called only after the group was created. */
    readonly services?: (group: () => PeerGroup) => readonly PeerService[];
}
