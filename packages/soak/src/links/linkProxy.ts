import type { LinkMode } from "./linkMode";

/** A TCP proxy on loopback between two processes. */
export interface LinkProxy extends AsyncDisposable {
    readonly port: number;
    readonly setMode: (mode: LinkMode) => void;
    /** Resets all open connections. */
    readonly reset: () => void;
    /** Makes all open connections silent for good, while new ones work. */
    readonly silence: () => void;
}
