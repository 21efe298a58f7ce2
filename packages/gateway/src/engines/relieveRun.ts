import { chooseReliefEngine } from "../placement/chooseReliefEngine";
import type { EvacuationOptions } from "./evacuationOptions";
import type { EvacuationResult } from "./evacuationResult";
import { moveRun } from "./moveRun";

/**
 * Moves a run that runs out of time to an engine that reads few prompts.
 *
 * Handles the longest outputs, which are not known until they have run for a while: a short output has ended by then.
 */
export const relieveRun = async (options: EvacuationOptions): Promise<EvacuationResult> => {
    const { upstreams, upstream, signal } = options;
    if (signal.aborted || upstreams.isDeparting(upstream)) {
        return { kind: "not-moved" };
    }
    const request = options.placementRequest();
    const target = chooseReliefEngine(
        upstreams.candidates(upstream.service, request),
        request,
        upstream.upstreamId,
    );
    return target === undefined ? { kind: "not-moved" } : moveRun(options, target, () => true);
};
