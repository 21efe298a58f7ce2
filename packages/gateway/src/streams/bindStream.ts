import type { AccountId } from "@ibislanding/core";
import type { RegisteredVersion } from "./registeredVersion";
import type { StreamBinding } from "./streamBinding";
import type { StreamKnowledge } from "./streamKnowledge";
import { STREAM_LIFETIME_MS } from "./streamLifetimeMs";

/** Time after its start by which a host has seen all versions that were registered then. */
const INTRODUCTION_MS = 10_000;

/**
 * Decides at which software version a stream may go on that a client takes up.
 *
 * Handles two versions side by side in one service while hosts are killed: the host that began the stream may be gone, and
 * another version at which the stream went on would make one stream of two that do not fit. While one version alone is
 * registered, origins are not recorded. A stream that nobody knows then began before the second version came, unless
 * hosts that would know it, or this one, have started since, or this one may not have heard of a version. `versions` has those
 * known longest first.
 */
export const bindStream = (
    { origin, recordedForMs, uptimeMs, areVersionsComplete, areVersionsCurrent, peerVersions }: StreamKnowledge,
    versions: readonly RegisteredVersion[],
    accountId: AccountId | undefined,
): StreamBinding => {
    if (origin !== undefined) {
        const { service, softwareVersion } = origin;
        return origin.accountId === accountId ? { kind: "bound", service, softwareVersion } : { kind: "unknown" };
    }
    const [oldest, second] = versions;
    const isKnownToPeersOnly = peerVersions.some(version =>
        versions.every(({ softwareVersion }) => softwareVersion !== version)
    );
    if (oldest === undefined || isKnownToPeersOnly) {
        return { kind: "unknown" };
    }
    const isOnlyOne = second === undefined && areVersionsComplete && areVersionsCurrent;
    const isBegunBefore = second !== undefined && second.knownForMs < STREAM_LIFETIME_MS
        && second.knownForMs < recordedForMs && uptimeMs - second.knownForMs >= INTRODUCTION_MS;
    return isOnlyOne || isBegunBefore
        ? { kind: "bound", service: undefined, softwareVersion: oldest.softwareVersion }
        : { kind: "unknown" };
};
