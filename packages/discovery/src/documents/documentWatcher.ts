import type { KeyValueSnapshot } from "@ibislanding/platform";
import type { DocumentSet } from "./documentSet";

/** Keeps one set of documents current. */
export interface DocumentWatcher extends AsyncDisposable {
    /** The set as last known; undefined before the first snapshot. */
    readonly current: () => DocumentSet | undefined;
    /** Takes a peer's complete snapshot if it is newer. */
    readonly offer: (snapshot: KeyValueSnapshot) => void;
    /** Whether the last call to the store was answered. */
    readonly isStoreReachable: () => boolean;
}
