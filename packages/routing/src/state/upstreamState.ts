import type { RateMeter } from "@ibislanding/core";
import type { LoadReport } from "../model/loadReport";
import type { UpstreamDescription } from "../model/upstreamDescription";
import type { PrefixIndex } from "../prefix/prefixIndex";
import type { InFlightRequest } from "./inFlightRequest";

/** What a router knows of one upstream; owned and changed by its routing state. */
export interface UpstreamState {
    description: UpstreamDescription;
    report: LoadReport | undefined;
    /** Local time at which the report was measured, or the upstream was first seen. */
    measuredAtMs: number;
    /** Whether the newest host list has the upstream. */
    listed: boolean;
    leaving: boolean;
    readonly inFlight: Map<string, InFlightRequest>;
    /** Start times of requests that ended after the report was measured. */
    finishedSinceReport: { readonly startedAtMs: number; readonly finishedAtMs: number; }[];
    /** Smoothed rates of what this entry host does at the upstream. */
    readonly startRate: RateMeter;
    readonly finishRate: RateMeter;
    readonly tokenRate: RateMeter;
    /** Prompt tokens waiting at `backlogAtMs`. */
    backlogTokens: number;
    backlogAtMs: number;
    readonly prefixIndex: PrefixIndex;
    consecutiveFailures: number;
    consecutiveEjections: number;
    ejectedUntilMs: number;
}
