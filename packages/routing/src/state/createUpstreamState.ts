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
    leaving: false,
    inFlight: new Map(),
    finishedSince: [],
    backlogTokens: 0,
    backlogAtMs: nowMs,
    prefixes: createPrefixIndex(options.maximumBlocksPerUpstream, options.guessLifetimeMs),
    failuresInRow: 0,
    ejections: 0,
    ejectedUntilMs: 0,
});
