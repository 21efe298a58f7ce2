import type { UpstreamId } from "@ibislanding/core";
import { match } from "ts-pattern";
import type { RoutingEvent } from "../model/routingEvent";
import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import { applyAcceptedPrompt } from "./applyAcceptedPrompt";
import { applyLoadReport } from "./applyLoadReport";
import { applyUpstreamList } from "./applyUpstreamList";
import { finishRequest } from "./finishRequest";
import { startRequest } from "./startRequest";

/** Updates the state of a router; `nowMs` is monotonic time. Events for unknown upstreams are ignored. */
export const applyRoutingEvent = (state: RoutingState, event: RoutingEvent, nowMs: number): void => {
    const updateUpstream = (id: string, update: (upstream: UpstreamState) => void): void => {
        const upstream = state.upstreams.get(id as UpstreamId);
        if (upstream !== undefined) {
            update(upstream);
        }
    };
    match(event)
        .with({ type: "upstreams-listed" }, ({ upstreams }) => applyUpstreamList(state, upstreams, nowMs))
        .with({ type: "machine-classes-declared" }, ({ classes }) => {
            state.machineClasses = classes;
        })
        .with({ type: "entry-hosts-counted" }, ({ count }) => {
            state.entryHostCount = Math.max(1, count);
        })
        .with(
            { type: "load-reported" },
            ({ report, ageMs }) =>
                updateUpstream(
                    report.upstreamId,
                    upstream => applyLoadReport(state, upstream, report, nowMs - Math.max(0, ageMs)),
                ),
        )
        .with(
            { type: "cache-changed" },
            ({ upstreamId, changes, lastSequence }) =>
                updateUpstream(
                    upstreamId,
                    ({ prefixIndex }) => prefixIndex.applyChanges(changes, lastSequence, nowMs),
                ),
        )
        .with({ type: "upstream-leaving" }, ({ upstreamId }) =>
            updateUpstream(upstreamId, upstream => {
                upstream.leaving = true;
            }))
        .with(
            { type: "request-started" },
            ({ requestId, upstreamId, uncachedTokens, blockHashes }) =>
                updateUpstream(
                    upstreamId,
                    upstream =>
                        startRequest(state, upstream, requestId, { startedAtMs: nowMs, uncachedTokens, blockHashes }),
                ),
        )
        .with(
            { type: "prompt-accepted" },
            ({ requestId, upstreamId, promptTokens, cachedTokens }) =>
                updateUpstream(
                    upstreamId,
                    upstream => applyAcceptedPrompt(state, upstream, requestId, promptTokens - cachedTokens, nowMs),
                ),
        )
        .with(
            { type: "request-finished" },
            ({ requestId, upstreamId, outcome }) =>
                updateUpstream(upstreamId, upstream => finishRequest(state, upstream, requestId, outcome, nowMs)),
        )
        .exhaustive();
};
