import { createFailure, ErrorCode, type Failure, type RequestId, type UpstreamId } from "@ibislanding/core";
import { withdrawRetry } from "@ibislanding/limits";
import { applyRoutingEvent, priceOf, type SelectionRequest, selectUpstream } from "@ibislanding/routing";
import type { AnswerPorts, SelectedUpstream } from "@ibislanding/streams";
import { Err, Ok, type Result } from "ts-results";
import type { EntryServices } from "../entryServices";

const MS_PER_HOUR = 3_600_000;
const MS_PER_SECOND = 1_000;
const BYTES_PER_GIGABYTE = 1e9;
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;

const routingOutcomes = {
    finished: "succeeded",
    failed: "failed",
    moved: "cancelled",
    refused: "refused",
    cancelled: "cancelled",
} as const;

/** Creates the ports through which an answer stream uses the router, engine clients and retry budget of this host. */
export const createAnswerPorts = (
    services: EntryServices,
    requestId: RequestId,
    selection: Omit<SelectionRequest, "excluded" | "isResume">,
    permitRetry: () => Result<void, Failure>,
): AnswerPorts => {
    const { clock, directory, random, metrics } = services;
    const { routing } = directory;

    const startAttempt = (upstreamId: UpstreamId, expectedCachedTokens: number): SelectedUpstream | undefined => {
        const client = directory.engine(upstreamId);
        const record = directory.record(upstreamId);
        const upstream = routing.upstreams.get(upstreamId);
        if (client === undefined || record === undefined || upstream === undefined) {
            return undefined;
        }
        const { pricePerHour, crossRegionPricePerGigabyte } = priceOf(routing, upstream);
        const { blockHashes, promptTokens, service } = selection;
        const uncachedTokens = Math.max(0, promptTokens - expectedCachedTokens);
        applyRoutingEvent(
            routing,
            { type: "request-started", requestId, upstreamId, blockHashes, uncachedTokens },
            clock.monotonicMs(),
        );
        return {
            upstreamId,
            url: record.url,
            client,
            expectedCachedTokens,
            prefillTokensPerSecond: upstream.report?.prefillTokensPerSecond ?? DEFAULT_PREFILL_TOKENS_PER_SECOND,
            pricePerByteFrom: other =>
                directory.record(other)?.region === record.region
                    ? 0
                    : crossRegionPricePerGigabyte / BYTES_PER_GIGABYTE,
            pricePerSecond: pricePerHour / MS_PER_HOUR * MS_PER_SECOND,
            recordPromptTokens: (startedPromptTokens, cachedTokens) =>
                applyRoutingEvent(
                    routing,
                    { type: "prompt-accepted", requestId, upstreamId, promptTokens: startedPromptTokens, cachedTokens },
                    clock.monotonicMs(),
                ),
            release: outcome => {
                metrics.attempts.add(1, { service, outcome });
                applyRoutingEvent(
                    routing,
                    { type: "request-finished", requestId, upstreamId, outcome: routingOutcomes[outcome] },
                    clock.monotonicMs(),
                );
            },
        };
    };

    return {
        clock,
        random,
        select: (excluded, isResume) => {
            const selected = selectUpstream(routing, { ...selection, excluded, isResume }, clock.monotonicMs(), random);
            if (selected.err) {
                return selected;
            }
            const upstream = startAttempt(selected.val.upstreamId, selected.val.expectedCachedTokens);
            return upstream === undefined ? Err(createFailure(ErrorCode.Overloaded)) : Ok(upstream);
        },
        find: upstreamId => startAttempt(upstreamId, 0),
        watchLeaving: directory.watchLeaving,
        permitRetry,
        recordMove: () => void withdrawRetry(services.limits, selection.service, "move"),
    };
};
