import type { StandInServer } from "../server/standInServer";

/** A running engine stand-in. */
export interface EngineStandIn extends StandInServer {
    /** Starts draining: the engine refuses new requests, as after a reclaim notice. */
    readonly leave: () => void;
    /** Stops immediately, closing all streams. */
    readonly kill: () => Promise<void>;
}
