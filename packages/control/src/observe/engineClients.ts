import type { ObservedEngine } from "./observedEngine";

/** Connections to engines by URL, opened when they are first needed. */
export interface EngineClients extends AsyncDisposable {
    readonly get: (url: string) => ObservedEngine;
    /** Closes the connections to all other URLs. */
    readonly retain: (urls: ReadonlySet<string>) => Promise<void>;
}
