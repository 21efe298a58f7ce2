import type { VersionRule } from "@ibislanding/rollouts";
import { evacuateRun } from "../engines/evacuateRun";
import type { EvacuationResult } from "../engines/evacuationResult";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import { ANY_VERSION } from "../versions/anyVersion";
import type { ForwardContext } from "./forwardContext";
import { toPlacementRequest } from "./toPlacementRequest";

const NOT_MOVED: EvacuationResult = { kind: "not-moved" };

/** Rule for the target of a move, which has the same version: none is eligible once that version was rolled back. */
const moveRule = ({ options, admitted }: ForwardContext, { softwareVersion }: UpstreamRecord): VersionRule =>
    options.versions?.ruleFor({ kind: "resume", service: admitted.service, version: softwareVersion }) ?? ANY_VERSION;

/** Moves a run when its upstream begins to leave; `end` stops watching and returns the result of a move. */
export const watchEvacuation = (
    context: ForwardContext,
    upstream: UpstreamRecord,
): { readonly end: () => Promise<EvacuationResult>; } => {
    const { options, admitted, ended } = context;
    const { engines, upstreams, events, clock } = options;
    const { requestId } = admitted.head;
    if (engines === undefined || requestId === undefined) {
        return { end: async () => NOT_MOVED };
    }
    // Created with the first move only: few runs are moved, and creating and aborting one for each run takes a while.
    let delivered: AbortController | undefined;
    let evacuating: Promise<EvacuationResult> | undefined;
    const evacuate = (): void => {
        if (evacuating !== undefined) {
            return;
        }
        delivered = new AbortController();
        evacuating = evacuateRun({
            clock,
            engines,
            upstreams,
            upstream,
            requestId,
            placementRequest: () => toPlacementRequest(context, true, moveRule(context, upstream), upstream),
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
            delivered?.abort();
            return evacuating ?? NOT_MOVED;
        },
    };
};
