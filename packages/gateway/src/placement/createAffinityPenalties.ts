import type { Hasher, UpstreamId } from "@ibislanding/core";
import type { PromptPart } from "../codec/promptPart";

/** Number of leading prompt parts that are likely to be shared with other prompts. */
const SHARED_PART_COUNT = 2;

/**
 * Maximum penalty for an engine that the prefix does not prefer: a small fraction of a prompt's processing time, but
 * more than the differences between idle engines.
 */
const MAXIMUM_PENALTY_MS = 30;

const HASH_RANGE = 2 ** 32;

/** Prefixes whose penalties are kept; the least recently used one is evicted first. */
const REMEMBERED_PREFIXES = 32;

/** Engines for which penalties of one prefix are kept; engines that are gone are not removed one by one. */
const REMEMBERED_ENGINES = 1_024;

/**
 * Creates the penalties of engines for prompts, derived from a hash of the engine's id and the prompt's prefix.
 *
 * Without them, hosts that know of no load would all choose the first engine. All hosts compute the same penalties
 * without communicating, so prompts spread over idle engines and prompts with the same prefix are sent to the same
 * engine. The penalties of recent prefixes are kept: a request needs those of all engines, and many have the same prefix.
 */
export const createAffinityPenalties = (hasher: Hasher) => {
    /** Least recently used prefix first. */
    const known = new Map<string, Map<UpstreamId, number>>();
    let latestParts: readonly PromptPart[] | undefined;
    let latestPrefix = "";
    let latestPenalties = new Map<UpstreamId, number>();

    /** Returns the penalties for a prefix, and makes it the most recently used one. */
    const penaltiesOf = (prefix: string): Map<UpstreamId, number> => {
        const penalties = known.get(prefix) ?? new Map<UpstreamId, number>();
        known.delete(prefix);
        known.set(prefix, penalties);
        const [oldest] = known.keys();
        if (known.size > REMEMBERED_PREFIXES && oldest !== undefined) {
            known.delete(oldest);
        }
        return penalties;
    };

    return {
        of: (upstreamId: UpstreamId, promptParts: readonly PromptPart[]): number => {
            // All engines are asked for with the parts of one request.
            if (promptParts !== latestParts) {
                latestParts = promptParts;
                latestPrefix = promptParts.slice(0, SHARED_PART_COUNT).map(({ partId }) => partId).join(" ");
                latestPenalties = penaltiesOf(latestPrefix);
            }
            const penalty = latestPenalties.get(upstreamId)
                ?? hasher.hash32(`${upstreamId} ${latestPrefix}`) / HASH_RANGE * MAXIMUM_PENALTY_MS;
            if (latestPenalties.size >= REMEMBERED_ENGINES) {
                latestPenalties.clear();
            }
            latestPenalties.set(upstreamId, penalty);
            return penalty;
        },
    };
};
