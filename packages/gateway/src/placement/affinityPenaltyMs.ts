import type { Hasher, UpstreamId } from "@ibislanding/core";
import type { PromptPart } from "../codec/promptPart";

/** Parts at the start of a prompt that other prompts probably share. */
const SHARED_PART_COUNT = 2;

/**
 * Most time that the preference of a prompt's prefix for some engines adds to the others: a small part of a prompt's
 * time, but more than the differences between idle engines.
 */
const MAXIMUM_PENALTY_MS = 30;

const HASH_RANGE = 2 ** 32;

/**
 * Returns the cost of an engine that is not the one that a prompt's prefix prefers.
 *
 * Answers hosts that know of no load and would all choose the first engine: they compute the same preference without
 * talking, so that prompts spread over idle engines, and those with the same prefix meet at one of them.
 */
export const affinityPenaltyMs = (
    hasher: Hasher,
    upstreamId: UpstreamId,
    promptParts: readonly PromptPart[],
): number => {
    const prefix = promptParts.slice(0, SHARED_PART_COUNT).map(({ partId }) => partId).join(" ");
    return hasher.hash32(`${upstreamId} ${prefix}`) / HASH_RANGE * MAXIMUM_PENALTY_MS;
};
