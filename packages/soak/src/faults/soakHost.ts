import type { LinkProxy } from "../links/linkProxy";
import type { HostProcess } from "../processes/hostProcess";

/** A host process with the proxies in front of it and between it and the store. */
export interface SoakHost {
    readonly process: HostProcess;
    /** Proxy from callers to the host. */
    readonly callers: LinkProxy;
    /** Proxy from the host to the store. */
    readonly store: LinkProxy;
    readonly isReady: () => Promise<boolean>;
}
