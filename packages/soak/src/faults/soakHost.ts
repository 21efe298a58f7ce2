import type { LinkProxy } from "../links/linkProxy";
import type { HostProcess } from "../processes/hostProcess";

/** A host with its links. */
export interface SoakHost {
    readonly process: HostProcess;
    /** From callers to the host. */
    readonly callers: LinkProxy;
    /** From the host to the store. */
    readonly store: LinkProxy;
    readonly isReady: () => Promise<boolean>;
}
