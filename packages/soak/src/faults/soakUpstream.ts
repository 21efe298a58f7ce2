import type { LinkProxy } from "../links/linkProxy";
import type { HostCut } from "./hostCut";
import type { UpstreamFault } from "./upstreamFault";

/** An upstream of the test environment, reachable only through a link proxy. */
export interface SoakUpstream {
    /** Link to which the links of all hosts lead. */
    readonly link: LinkProxy;
    readonly service: string;
    /** Cuts a host off from it and from its replacements; returns a function that ends the cut. */
    readonly cutOff: (hostIndex: number, cut: HostCut) => () => void;
    readonly setFault: (fault: UpstreamFault) => void;
    /** Writes its entry to the store again. */
    readonly register: () => void;
    /** From now on states a limit in its answers, in requests a second of all hosts; returns a function that ends it. */
    readonly stateLimit: (limitPerS: number) => () => void;
    /**
     * From now on has few slots and states in its answers that it crashes if it rejects more requests in a second; returns a
     * function that ends it.
     */
    readonly becomeBrittle: (rejectionsPerS: number) => () => void;
    /** States in its answers and then in the store that it is leaving, is replaced under a new id at once, and serves until the drain time is over. */
    readonly leave: () => Promise<void>;
    /** The same, replaced by one of another software version. */
    readonly changeVersion: () => Promise<void>;
    /** Resets all connections and stops; replaced under a new id `downMs` after its store entry was removed. */
    readonly crash: (downMs: number) => Promise<void>;
}
