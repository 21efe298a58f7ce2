import type { UpstreamId } from "@ibislanding/core";
import type { FeatureId } from "./featureId";

/** A request whose answer was lost when its upstream crashed. */
export interface CrashSuspect {
    /** The start of the upstream that crashed. */
    readonly upstreamId: UpstreamId;
    readonly startedAtMs: number;
    /** Features that other requests may share: the parts of the prompt in their order, then the request itself. */
    readonly featureIds: readonly FeatureId[];
    /** Time of the crash, on the clock that the hosts share. */
    readonly crashedAtMs: number;
    /** Time from the head of the answer to the crash, or from the send if there was no head. */
    readonly runMs: number;
    /** Whether the head of the answer had arrived. */
    readonly hasBegun: boolean;
}
