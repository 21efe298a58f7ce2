import { createRateMeter } from "@ibislanding/core";
import type { RoutingOptions } from "../model/routingOptions";
import type { UpstreamDescription } from "../model/upstreamDescription";
import { createPrefixIndex } from "../prefix/createPrefixIndex";
import type { UpstreamState } from "./upstreamState";

/** Creates the state of an upstream that was just listed. */
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
    finishedSince: [],
    startRate: createRateMeter(options.rateWindowMs),
    finishRate: createRateMeter(options.rateWindowMs),
    tokenRate: createRateMeter(options.rateWindowMs),
    backlogTokens: 0,
    backlogAtMs: nowMs,
    prefixes: createPrefixIndex(options.maximumBlocksPerUpstream, options.guessLifetimeMs),
    failuresInRow: 0,
    ejections: 0,
    ejectedUntilMs: 0,
});
