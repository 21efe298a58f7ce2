import { combineHashes } from "@ibislanding/core";
import type { LimitShare } from "./limitShare";

/**
 * Hosts that may send to an upstream in addition to one for each request a second, so that a host that has terminated
 * does not leave the limit unused.
 */
const ADDITIONAL_SENDERS = 2;

const MS_PER_S = 1_000;

/**
 * Returns the share of one host in the limit of an upstream; undefined if other hosts use the limit.
 *
 * Handles limits that are low for the number of hosts: a share for each host would let all of them send their first
 * request at the same time. Only a few hosts may send, which all hosts find by rendezvous hashing, each with an equal
 * share and without bursts. In any four seconds, `n` senders of a limit `r` send at most `4r + n` requests. Hosts that
 * disagree on which hosts are live add one sender for each difference.
 */
export const computeLimitShare = (
    limitPerS: number,
    upstreamHash: number,
    hostHashes: ReadonlyMap<string, number>,
    host: string,
): LimitShare | undefined => {
    const ownHash = hostHashes.get(host);
    if (ownHash === undefined || limitPerS <= 0) {
        return undefined;
    }
    const senders = Math.min(hostHashes.size, Math.ceil(limitPerS) + ADDITIONAL_SENDERS);
    const ownRank = combineHashes(upstreamHash, ownHash);
    let preceding = 0;
    hostHashes.forEach((hash, other) => {
        const rank = combineHashes(upstreamHash, hash);
        preceding += rank < ownRank || rank === ownRank && other < host ? 1 : 0;
    });
    return preceding < senders ? { intervalMs: MS_PER_S * senders / limitPerS } : undefined;
};
