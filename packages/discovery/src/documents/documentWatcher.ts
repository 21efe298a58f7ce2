import type { KeyValueSnapshot } from "@ibislanding/platform";
import type { DocumentPosition } from "./documentPosition";
import type { DocumentSet } from "./documentSet";

/** Keeps one set of documents up to date with the store. */
export interface DocumentWatcher extends AsyncDisposable {
    /** The latest known set; undefined before the first snapshot. */
    readonly current: () => DocumentSet | undefined;
    /** Replaces the set with a peer's complete snapshot if that has a newer position. */
    readonly offer: (snapshot: KeyValueSnapshot) => void;
    /** Takes over a peer's position if nothing has changed between the own one and that, as the peer states. */
    readonly advance: (position: DocumentPosition, changedRevision: number) => void;
    /** Whether the last call to the store succeeded; lost history doesn't count as a failure. */
    readonly isStoreReachable: () => boolean;
    /**
     * Ends the wait in progress, which may have been lost, and asks the store whether there is a newer set; also while a peer
     * tells this host of changes. Has no effect until that call has ended.
     */
    readonly refresh: () => void;
}
