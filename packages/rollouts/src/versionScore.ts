import type { Suspicion } from "./suspicion";

/** Result of the comparison of a target with the other versions. */
export interface VersionScore extends Pick<Suspicion, "recent" | "lasting" | "whole"> {
    /** Expected bad share in each interval, from the answers of the other versions. */
    readonly otherShares: readonly number[];
}
