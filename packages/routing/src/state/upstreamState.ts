import type { RateMeter } from "@ibislanding/core";
import type { LoadReport } from "../model/loadReport";
import type { UpstreamDescription } from "../model/upstreamDescription";
import type { PrefixIndex } from "../prefix/prefixIndex";
import type { InFlightRequest } from "./inFlightRequest";

/** Mutable state of one upstream, owned by the `RoutingState`. */
export interface UpstreamState {
    description: UpstreamDescription;
    report: LoadReport | undefined;
    /** Local time at which the report was measured or, without a report, at which the upstream was first seen. */
    measuredAtMs: number;
    /** Whether the latest host list contains the upstream. */
    listed: boolean;
    leaving: boolean;
    readonly inFlight: Map<string, InFlightRequest>;
    /** Requests that finished after the report was measured. */
    finishedSinceReport: { readonly startedAtMs: number; readonly finishedAtMs: number; }[];
    /**
     * Smoothed rates at which this entry host's requests to the upstream start and finish, and of their prompt tokens.
     */
    readonly startRate: RateMeter;
    readonly finishRate: RateMeter;
    readonly tokenRate: RateMeter;
    /** Estimated prompt tokens waiting for prefill at `backlogAtMs`. */
    backlogTokens: number;
    backlogAtMs: number;
    readonly prefixIndex: PrefixIndex;
    consecutiveFailures: number;
    consecutiveEjections: number;
    ejectedUntilMs: number;
}
