import type { ConfigurationDocument } from "@ibislanding/resources";

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
    /** Whether the first read from the store is checked against the version of the key. */
    readonly confirmsFirstRead: boolean;
}
