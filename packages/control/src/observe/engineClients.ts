import type { ObservedEngine } from "./observedEngine";

/** Pool of engine clients by URL. */
export interface EngineClients extends AsyncDisposable {
    /** Returns the client of a URL with its last report; creates the client on first use. */
    readonly get: (url: string) => ObservedEngine;
    /** Closes the clients of all URLs that are not in the set. */
    readonly retain: (urls: ReadonlySet<string>) => Promise<void>;
}
