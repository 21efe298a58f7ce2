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

/**
 * Returns the penalty of an engine for a prompt, derived from a hash of the engine's id and the prompt's prefix.
 *
 * Without it, hosts that know of no load would all choose the first engine. All hosts compute the same penalties
 * without communicating, so prompts spread over idle engines and prompts with the same prefix are sent to the same
 * engine.
 */
export const affinityPenaltyMs = (
    hasher: Hasher,
    upstreamId: UpstreamId,
    promptParts: readonly PromptPart[],
): number => {
    const prefix = promptParts.slice(0, SHARED_PART_COUNT).map(({ partId }) => partId).join(" ");
    return hasher.hash32(`${upstreamId} ${prefix}`) / HASH_RANGE * MAXIMUM_PENALTY_MS;
};
