import type { Failure } from "@ibislanding/core";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { Result } from "ts-results";
import type { FollowerDump } from "./followerDump";

/** Tracks the newest accepted configuration known to one process; its revision never decreases. */
export interface ConfigurationFollower extends AsyncDisposable {
    /** Newest known document; `undefined` until the first one is received. */
    readonly current: () => ConfigurationDocument | undefined;
    /** Resolves with the first document; fails with `cancelled` when the signal aborts or the follower is disposed. */
    readonly whenReady: (signal?: AbortSignal) => Promise<Result<ConfigurationDocument, Failure>>;
    /** Calls the listener with each newer document; returns a function that removes the listener. */
    readonly subscribe: (listener: (document: ConfigurationDocument) => void) => () => void;
    /**
     * Offers an accepted document from a peer or from this host's writer; the follower adopts it if it is newer.
     * Resolves with the number of peers that confirmed the newest document after this host forwarded it, and need not
     * be awaited.
     */
    readonly offer: (document: ConfigurationDocument) => Promise<number>;
    readonly stateDump: () => FollowerDump;
}
