import type { Clock, HostId, RandomSource } from "@ibislanding/core";
import type { HostList, KeyValueStore } from "@ibislanding/platform";
import type { PeerService } from "@ibislanding/protocol";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { ListenerSettings, Logger, ProcessSettings } from "@ibislanding/runtime";
import type { PeerGroup } from "./peerGroup";

/** Identity, settings and dependencies with which a process joins the peer group. */
export interface PeerGroupOptions {
    readonly hostId: HostId;
    /** Role of the process: `entry`, `control` or `admin`. */
    readonly role: string;
    readonly process: ProcessSettings;
    readonly listener: ListenerSettings;
    /** Internal addresses of other processes, in addition to those in the host list. */
    readonly seeds: readonly string[];
    readonly store: KeyValueStore;
    readonly hostList: HostList;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Called with every newer revision of the configuration. */
    readonly onConfiguration: (document: ConfigurationDocument) => void;
    /** Additional services of the internal listener; `group` throws until the group is initialized. */
    readonly services?: (group: () => PeerGroup) => readonly PeerService[];
}
