import { measureElapsedMs } from "@ibislanding/core";
import { chooseUpstream } from "../placement/chooseUpstream";
import type { EvacuationOptions } from "./evacuationOptions";
import type { EvacuationResult } from "./evacuationResult";
import { moveRun } from "./moveRun";

/**
 * Delay between the notice and the move of runs that are still in progress. Short responses finish within it, and the
 * shortest notice leaves the same time again for copying.
 */
const EVACUATION_DELAY_MS = 1_000;

/** Fraction of a longer notice that passes before runs are moved. */
const EVACUATION_SHARE = 0.4;

/** Time after the notice up to which a run that could not be copied goes on at its upstream, which must not get requests for long. */
const SOURCE_CONTINUATION_MS = 2_000;

/**
 * Moves a run away from an upstream that is about to leave.
 *
 * Handles an availability zone that is reclaimed with two or three seconds of notice while long responses are running.
 */
export const evacuateRun = async (options: EvacuationOptions): Promise<EvacuationResult> => {
    const { clock, upstreams, upstream, signal } = options;
    const elapsedMs = measureElapsedMs(clock);
    const noticeMs = upstreams.noticeMs(upstream.upstreamId);
    await clock.sleep(Math.max(EVACUATION_DELAY_MS, (noticeMs ?? 0) * EVACUATION_SHARE), signal);
    if (signal.aborted || !upstreams.isDeparting(upstream)) {
        return { kind: "not-moved" };
    }
    const request = options.placementRequest();
    const candidates = upstreams.candidates(upstream.service, request).filter(({ isMissing }) => !isMissing);
    const decision = chooseUpstream(candidates, request);
    if (decision.kind === "refuse") {
        return { kind: "not-moved" };
    }
    return moveRun(options, decision.upstream, () => elapsedMs() <= SOURCE_CONTINUATION_MS);
};
