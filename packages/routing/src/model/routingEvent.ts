import type { RequestId, UpstreamId } from "@ibislanding/core";
import type { MachineClassSpec } from "@ibislanding/resources";
import type { CacheChange } from "./cacheChange";
import type { LoadReport } from "./loadReport";
import type { UpstreamDescription } from "./upstreamDescription";

/** Input that updates a router's state; see `applyRoutingEvent`. */
export type RoutingEvent =
    /** The complete host list; upstreams that it omits are no longer selected. */
    | { readonly type: "upstreams-listed"; readonly upstreams: readonly UpstreamDescription[]; }
    /** Machine classes of the active configuration, by name. */
    | { readonly type: "machine-classes-declared"; readonly classes: Readonly<Record<string, MachineClassSpec>>; }
    /** Number of entry hosts that route to the same upstreams, this one included. */
    | { readonly type: "entry-hosts-counted"; readonly count: number; }
    /** `ageMs` is the time since the engine took the measurement. */
    | { readonly type: "load-reported"; readonly report: LoadReport; readonly ageMs: number; }
    /** `lastSequence` is the engine's newest sequence number, delivered or not. */
    | {
        readonly type: "cache-changed";
        readonly upstreamId: UpstreamId;
        readonly changes: readonly CacheChange[];
        readonly lastSequence: number;
    }
    /** Reported by a reclaim notice, a peer or an engine's refusal; permanent for this upstream id. */
    | { readonly type: "upstream-leaving"; readonly upstreamId: UpstreamId; }
    | {
        readonly type: "request-started";
        readonly requestId: RequestId;
        readonly upstreamId: UpstreamId;
        readonly blockHashes: readonly string[];
        /** Prompt tokens that the engine is expected to process. */
        readonly uncachedTokens: number;
    }
    /** The engine accepted the prompt and reported how many of its tokens were cached. */
    | {
        readonly type: "prompt-accepted";
        readonly requestId: RequestId;
        readonly upstreamId: UpstreamId;
        readonly promptTokens: number;
        readonly cachedTokens: number;
    }
    | {
        readonly type: "request-finished";
        readonly requestId: RequestId;
        readonly upstreamId: UpstreamId;
        /** Refusals before execution and cancellations do not count towards the upstream's health. */
        readonly outcome: "succeeded" | "failed" | "refused" | "cancelled";
    };
