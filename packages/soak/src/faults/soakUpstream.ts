import type { LinkProxy } from "../links/linkProxy";
import type { UpstreamFault } from "./upstreamFault";

/** An upstream of the test environment, reachable only through a link proxy. */
export interface SoakUpstream {
    readonly link: LinkProxy;
    readonly setFault: (fault: UpstreamFault) => void;
    /** Drains: announces the shutdown, serves until the drain time is over, and is replaced under a new id. */
    readonly leave: () => Promise<void>;
    /** Resets all connections, stops answering, and is replaced under a new id once `downMs` have passed. */
    readonly crash: (downMs: number) => Promise<void>;
}
