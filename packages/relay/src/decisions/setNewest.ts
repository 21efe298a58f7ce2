import type { UpstreamId } from "@ibislanding/core";

/** Number of upstreams that are remembered, so that replaced upstreams do not accumulate. */
const REMEMBERED_UPSTREAMS = 1_000;

/** Sets the newest entry, and drops the oldest one of too many. */
export const setNewest = <T>(entries: Map<UpstreamId, T>, upstreamId: UpstreamId, entry: T): void => {
    entries.delete(upstreamId);
    entries.set(upstreamId, entry);
    const [oldest] = entries.keys();
    if (entries.size > REMEMBERED_UPSTREAMS && oldest !== undefined) {
        entries.delete(oldest);
    }
};
