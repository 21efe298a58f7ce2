import type { LinkMode } from "./linkMode";

/** A TCP proxy on loopback that injects network faults between two processes. */
export interface LinkProxy extends AsyncDisposable {
    readonly port: number;
    readonly setMode: (mode: LinkMode) => void;
    /** Resets all open connections. */
    readonly reset: () => void;
    /** Discards all further data on open connections; new connections are not affected. */
    readonly silence: () => void;
}
