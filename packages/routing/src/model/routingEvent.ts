import type { RequestId, UpstreamId } from "@ibislanding/core";
import type { MachineClassSpec } from "@ibislanding/resources";
import type { CacheChange } from "./cacheChange";
import type { LoadReport } from "./loadReport";
import type { UpstreamDescription } from "./upstreamDescription";

/** What a router learns; see `applyRoutingEvent`. */
export type RoutingEvent =
    /** The whole host list. */
    | { readonly type: "upstreams-listed"; readonly upstreams: readonly UpstreamDescription[]; }
    /** Machine classes of the configuration in force, by name. */
    | { readonly type: "machine-classes-declared"; readonly classes: Readonly<Record<string, MachineClassSpec>>; }
    /** Number of entry hosts that route to the same upstreams, this one included. */
    | { readonly type: "entry-hosts-counted"; readonly count: number; }
    /** `ageMs` is the time since the engine measured. */
    | { readonly type: "load-reported"; readonly report: LoadReport; readonly ageMs: number; }
    /** `lastSequence` is the engine's newest sequence number, delivered or not. */
    | {
        readonly type: "cache-changed";
        readonly upstreamId: UpstreamId;
        readonly changes: readonly CacheChange[];
        readonly lastSequence: number;
    }
    /** From a reclaim notice, a peer, or an engine's refusal; never undone for this upstream id. */
    | { readonly type: "upstream-leaving"; readonly upstreamId: UpstreamId; }
    | {
        readonly type: "request-started";
        readonly requestId: RequestId;
        readonly upstreamId: UpstreamId;
        readonly blockHashes: readonly string[];
        /** Prompt tokens that the engine is expected to process. */
        readonly uncachedTokens: number;
    }
    /** The engine told how many prompt tokens were in its cache. */
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
        /** A refusal before running and a cancellation say nothing of the upstream's health. */
        readonly outcome: "succeeded" | "failed" | "refused" | "cancelled";
    };
