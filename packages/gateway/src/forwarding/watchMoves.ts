import type { VersionRule } from "@ibislanding/rollouts";
import { evacuateRun } from "../engines/evacuateRun";
import type { EvacuationOptions } from "../engines/evacuationOptions";
import type { EvacuationResult } from "../engines/evacuationResult";
import { relieveRun } from "../engines/relieveRun";
import { isWorthCopying } from "../placement/isWorthCopying";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import { ANY_VERSION } from "../versions/anyVersion";
import type { ForwardContext } from "./forwardContext";
import { toPlacementRequest } from "./toPlacementRequest";

/** Part of the time of a request after which a stream that has not ended runs out of time. */
const RELIEF_TIME_SHARE = 0.6;

/** Time that a stream has at an engine before it is moved to another one because it runs out of time. */
const MINIMUM_RUN_MS = 1_000;

const NOT_MOVED: EvacuationResult = { kind: "not-moved" };

type Move = (options: EvacuationOptions) => Promise<EvacuationResult>;

/** Rule for the target of a move, which has the same version: none is eligible once that version was rolled back. */
const moveRule = ({ options, admitted }: ForwardContext, { softwareVersion }: UpstreamRecord): VersionRule =>
    options.versions?.ruleFor({ kind: "resume", service: admitted.service, version: softwareVersion }) ?? ANY_VERSION;

/** Time until the stream has used a part of the time of its request. */
const reliefInMs = ({ options, admitted }: ForwardContext): number => {
    const { dueAtMs, head, route } = admitted;
    const totalMs = Math.min(route.timeoutMs, head.deadlineMs ?? Infinity);
    return Math.max(MINIMUM_RUN_MS, dueAtMs - totalMs * (1 - RELIEF_TIME_SHARE) - options.clock.monotonicMs());
};

/**
 * Moves a run when its upstream begins to leave, and once if its stream runs out of time; `isPaused` tells whether the stream
 * waits for its client. `end` stops watching and returns the result of a move.
 */
export const watchMoves = (
    context: ForwardContext,
    upstream: UpstreamRecord,
    isPaused: () => boolean,
): { readonly end: () => Promise<EvacuationResult>; } => {
    const { options, admitted, ended } = context;
    const { engines, upstreams, events, clock } = options;
    const { requestId } = admitted.head;
    if (engines === undefined || requestId === undefined) {
        return { end: async () => NOT_MOVED };
    }
    // Created with the first move only: few runs are moved, and creating and aborting one for each run takes a while.
    let delivered: AbortController | undefined;
    let moving: Promise<EvacuationResult> | undefined;
    const start = (cause: "departure" | "time", move: Move): void => {
        delivered ??= new AbortController();
        const moveOptions: EvacuationOptions = {
            clock,
            engines,
            upstreams,
            upstream,
            requestId,
            placementRequest: () => toPlacementRequest(context, true, moveRule(context, upstream), upstream),
            signal: AbortSignal.any([delivered.signal, ended]),
            onMove: (target, outcome) =>
                events.onRunMoved({
                    requestId,
                    upstreamId: upstream.upstreamId,
                    target: target.upstreamId,
                    cause,
                    outcome,
                }),
        };
        const previous = moving ?? Promise.resolve(NOT_MOVED);
        moving = previous.then(result => result.kind === "not-moved" ? move(moveOptions) : result);
    };
    const evacuate = (): void => start("departure", evacuateRun);
    const unsubscribe = upstreams.onDeparture(upstream.upstreamId, evacuate);
    if (upstreams.isDeparting(upstream)) {
        evacuate();
    }
    const relief = context.isRelieved || !context.mayRepeat || !isWorthCopying(admitted.head)
        ? undefined
        : clock.setTimer(reliefInMs(context), () => {
            if (isPaused()) {
                return;
            }
            context.isRelieved = true;
            options.streamRelief.recordSlow(admitted.service);
            if (options.retryBudget.hasRetry(admitted.service)) {
                start("time", relieveRun);
            }
        });
    return {
        end: async () => {
            relief?.cancel();
            unsubscribe();
            delivered?.abort();
            return moving ?? NOT_MOVED;
        },
    };
};
