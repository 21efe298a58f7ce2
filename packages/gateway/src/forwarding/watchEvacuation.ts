import type { Continuation } from "../engines/continuation";
import { evacuateRun } from "../engines/evacuateRun";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { ForwardContext } from "./forwardContext";
import { toPlacementRequest } from "./toPlacementRequest";

/** Moves a run when its upstream begins to leave; `end` returns where the run is continued if it was stopped. */
export const watchEvacuation = (
    context: ForwardContext,
    upstream: UpstreamRecord,
): { readonly end: () => Promise<Continuation | undefined>; } => {
    const { options, admitted, ended } = context;
    const { engines, upstreams, events, clock } = options;
    const { requestId } = admitted.head;
    if (engines === undefined || requestId === undefined) {
        return { end: async () => undefined };
    }
    const delivered = new AbortController();
    let evacuating: Promise<Continuation | undefined> | undefined;
    const evacuate = (): void => {
        evacuating ??= evacuateRun({
            clock,
            engines,
            upstreams,
            upstream,
            requestId,
            placementRequest: () => toPlacementRequest(context, true, upstream),
            signal: AbortSignal.any([delivered.signal, ended]),
            onMove: (target, outcome) =>
                events.onRunMoved({ requestId, upstreamId: upstream.upstreamId, target: target.upstreamId, outcome }),
        });
    };
    const unsubscribe = upstreams.onDeparture(upstream.upstreamId, evacuate);
    if (upstreams.isDeparting(upstream)) {
        evacuate();
    }
    return {
        end: async () => {
            unsubscribe();
            delivered.abort();
            return evacuating;
        },
    };
};
