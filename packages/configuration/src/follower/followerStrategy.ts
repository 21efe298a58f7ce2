import type { KeyValueStore } from "@ibislanding/platform";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { StoredConfiguration } from "../documents/storedConfiguration";

/** Rules by which a follower adopts and propagates documents. */
export interface FollowerStrategy {
    /** Returns whether an offered document replaces the current one. */
    readonly replaces: (offered: ConfigurationDocument, current: ConfigurationDocument | undefined) => boolean;
    /** Number of random peers to which a newly adopted document is forwarded. */
    readonly fanOut: number;
    /** Mean interval between two anti-entropy rounds, each with one random peer; `undefined` disables them. */
    readonly antiEntropyIntervalMs: number | undefined;
    /** Number of random peers that a follower queries at once while it has no document, as during a store outage. */
    readonly bootstrapPeers: number;
    /** Returns whether the first read from the store was not stale. */
    readonly isCurrentRead: (
        store: KeyValueStore,
        stored: StoredConfiguration,
        signal: AbortSignal,
    ) => Promise<boolean>;
}
