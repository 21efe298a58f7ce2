import type { Clock, UpstreamId } from "@ibislanding/core";
import type { PrefixDirectory } from "./prefixDirectory";

interface UpstreamPrefixes {
    /** Monotonic time of each part's last use. */
    readonly usedAtMs: Map<string, number>;
    /** Moving average of the tokens per millisecond that enter the cache. */
    tokensPerMs: number;
    rateUpdatedAtMs: number;
}

/** Fraction of the cache available to retained parts; running requests use the rest. */
const CACHE_SHARE = 0.6;

/** Bounds of the time for which an unused part is assumed to remain cached. */
const MINIMUM_RETENTION_MS = 2_000;
const MAXIMUM_RETENTION_MS = 30_000;

/** Time constant of the moving average of the tokens that enter a cache. */
const RATE_WINDOW_MS = 5_000;

/** Maximum number of parts tracked per upstream; the least recently used one is evicted first. */
const MAXIMUM_PARTS = 4_000;

/** Creates a directory without any cached parts. */
export const createPrefixDirectory = (clock: Clock): PrefixDirectory => {
    const upstreams = new Map<UpstreamId, UpstreamPrefixes>();

    const prefixesOf = (upstreamId: UpstreamId): UpstreamPrefixes => {
        const known = upstreams.get(upstreamId);
        if (known !== undefined) {
            return known;
        }
        const prefixes = { usedAtMs: new Map<string, number>(), tokensPerMs: 0, rateUpdatedAtMs: clock.monotonicMs() };
        upstreams.set(upstreamId, prefixes);
        return prefixes;
    };

    const touch = (upstreamId: UpstreamId, partId: string): void => {
        const { usedAtMs } = prefixesOf(upstreamId);
        usedAtMs.delete(partId);
        usedAtMs.set(partId, clock.monotonicMs());
        const [oldest] = usedAtMs.keys();
        if (usedAtMs.size > MAXIMUM_PARTS && oldest !== undefined) {
            usedAtMs.delete(oldest);
        }
    };

    const addTokens = (prefixes: UpstreamPrefixes, tokens: number): void => {
        const nowMs = clock.monotonicMs();
        prefixes.tokensPerMs = prefixes.tokensPerMs * Math.exp((prefixes.rateUpdatedAtMs - nowMs) / RATE_WINDOW_MS)
            + tokens / RATE_WINDOW_MS;
        prefixes.rateUpdatedAtMs = nowMs;
    };

    const retentionMs = ({ tokensPerMs }: UpstreamPrefixes, cacheTokens: number): number =>
        Math.min(
            MAXIMUM_RETENTION_MS,
            Math.max(MINIMUM_RETENTION_MS, cacheTokens * CACHE_SHARE / Math.max(tokensPerMs, Number.EPSILON)),
        );

    return {
        cachedTokens: ({ upstreamId }, parts, cacheTokens) => {
            const prefixes = prefixesOf(upstreamId);
            const [first] = parts;
            // Most engines have never received the first part.
            if (first === undefined || !prefixes.usedAtMs.has(first.partId)) {
                return 0;
            }
            const oldestMs = clock.monotonicMs() - retentionMs(prefixes, cacheTokens);
            const firstMissing = parts.findIndex(({ partId }) =>
                !((prefixes.usedAtMs.get(partId) ?? -Infinity) >= oldestMs)
            );
            return parts.slice(0, firstMissing === -1 ? parts.length : firstMissing).reduce(
                (sum, { tokens }) => sum + tokens,
                0,
            );
        },
        record: ({ upstreamId }, request) => {
            // The last part belongs to a single request or session. It is recorded too, as sessions send further
            // requests.
            request.promptParts.forEach(({ partId }) => touch(upstreamId, partId));
            addTokens(prefixesOf(upstreamId), request.promptTokens);
        },
        touch,
    };
};
