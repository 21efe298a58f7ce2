import { createRateMeter } from "@ibislanding/core";
import type { RoutingOptions } from "../model/routingOptions";
import type { UpstreamDescription } from "../model/upstreamDescription";
import { createPrefixIndex } from "../prefix/createPrefixIndex";
import type { UpstreamState } from "./upstreamState";

/** Creates the state of an upstream when it first appears in the host list. */
export const createUpstreamState = (
    description: UpstreamDescription,
    options: RoutingOptions,
    nowMs: number,
): UpstreamState => ({
    description,
    report: undefined,
    measuredAtMs: nowMs,
    listed: true,
    leaving: false,
    inFlight: new Map(),
    finishedSinceReport: [],
    startRate: createRateMeter(options.rateWindowMs),
    finishRate: createRateMeter(options.rateWindowMs),
    tokenRate: createRateMeter(options.rateWindowMs),
    backlogTokens: 0,
    backlogAtMs: nowMs,
    prefixIndex: createPrefixIndex(options.maximumBlocksPerUpstream, options.guessedBlockLifetimeMs),
    consecutiveFailures: 0,
    consecutiveEjections: 0,
    ejectedUntilMs: 0,
});
