import type { Failure } from "@ibislanding/core";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { Result } from "ts-results";
import type { FollowerDump } from "./followerDump";

/** Keeps the newest accepted configuration of one process; its revision never decreases. */
export interface ConfigurationFollower extends AsyncDisposable {
    /** Undefined until the first document is known. */
    readonly current: () => ConfigurationDocument | undefined;
    /** Resolves with the first document, or fails with `cancelled` when the signal aborts. */
    readonly whenReady: (signal?: AbortSignal) => Promise<Result<ConfigurationDocument, Failure>>;
    /** Calls the listener with each newer document; returns a function that ends this. */
    readonly subscribe: (listener: (document: ConfigurationDocument) => void) => () => void;
    /**
     * Takes an accepted document from a peer or from the writer of this host. Resolves with the number of peers that
     * confirmed it after this host forwarded it; it need not be awaited.
     */
    readonly offer: (document: ConfigurationDocument) => Promise<number>;
    readonly stateDump: () => FollowerDump;
}
