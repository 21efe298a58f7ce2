import type { KeyValueStore } from "@ibislanding/platform";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { StoredConfiguration } from "../documents/storedConfiguration";

/** Choices of a follower on how documents are taken and spread. */
export interface FollowerStrategy {
    /** Tells whether an offered document replaces the current one. */
    readonly replaces: (offered: ConfigurationDocument, current: ConfigurationDocument | undefined) => boolean;
    /** Number of random peers to which a newly learned document is forwarded. */
    readonly fanOut: number;
    /** Mean time between two comparisons with a random peer; undefined for none. */
    readonly antiEntropyIntervalMs: number | undefined;
    /** Number of peers that a newcomer asks when the store cannot be read. */
    readonly bootstrapPeers: number;
    /** Tells whether the first read from the store was not an old one. */
    readonly isCurrentRead: (
        store: KeyValueStore,
        stored: StoredConfiguration,
        signal: AbortSignal,
    ) => Promise<boolean>;
}
