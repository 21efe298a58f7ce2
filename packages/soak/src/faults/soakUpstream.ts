import type { LinkProxy } from "../links/linkProxy";
import type { UpstreamFault } from "./upstreamFault";

/** An upstream of the soak's world; its connections go through a link. */
export interface SoakUpstream {
    readonly link: LinkProxy;
    readonly setFault: (fault: UpstreamFault) => void;
    /** Announces that it leaves, serves for a while, and comes back under a new id. */
    readonly leave: () => Promise<void>;
    /** Resets its connections, falls silent, and comes back under a new id. */
    readonly crash: (downMs: number) => Promise<void>;
}
