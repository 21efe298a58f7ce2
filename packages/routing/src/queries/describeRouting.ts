import type { UpstreamId } from "@ibislanding/core";
import type { RoutingState } from "../state/routingState";
import { estimateBacklogTokens } from "./estimateBacklogTokens";
import { estimateSequences } from "./estimateSequences";
import { isEjected } from "./isEjected";

/** Returns the estimated state of each upstream for the state dump of the process. */
export const describeRouting = (
    state: RoutingState,
    nowMs: number,
): readonly {
    readonly upstreamId: UpstreamId;
    readonly service: string;
    readonly phase: string;
    readonly leaving: boolean;
    readonly ejected: boolean;
    readonly reportAgeMs: number | undefined;
    readonly inFlight: number;
    readonly sequences: number;
    readonly backlogTokens: number;
    readonly cachedBlocks: number;
}[] =>
    [...state.upstreams.values()].map(upstream => ({
        upstreamId: upstream.description.upstreamId,
        service: upstream.description.service,
        phase: upstream.description.phase,
        leaving: upstream.leaving,
        ejected: isEjected(upstream, nowMs),
        reportAgeMs: upstream.report === undefined ? undefined : nowMs - upstream.measuredAtMs,
        inFlight: upstream.inFlight.size,
        sequences: estimateSequences(upstream, state.entryHostCount, nowMs),
        backlogTokens: Math.round(estimateBacklogTokens(state, upstream, nowMs)),
        cachedBlocks: upstream.prefixIndex.size(),
    }));
