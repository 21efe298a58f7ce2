import { readStoreVersion } from "../queries/readStoreVersion";
import type { FollowerStrategy } from "./followerStrategy";

/** Strategy used in production; tests and measurements use variants of it. */
export const defaultFollowerStrategy: FollowerStrategy = {
    replaces: (offered, current) => current === undefined || offered.revision > current.revision,
    fanOut: 3,
    antiEntropyIntervalMs: 1_000,
    bootstrapPeers: 5,
    isCurrentRead: async (store, stored, signal) => {
        const version = await readStoreVersion(store, signal);
        return version.ok && version.val <= stored.storeVersion;
    },
};
