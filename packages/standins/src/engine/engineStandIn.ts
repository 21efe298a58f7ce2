import type { StandInServer } from "../server/standInServer";

/** A running engine stand-in. */
export interface EngineStandIn extends StandInServer {
    /** Makes the engine refuse new work, as after a reclaim notice. */
    readonly leave: () => void;
    /** Stops at once, breaking all streams. */
    readonly kill: () => Promise<void>;
}
