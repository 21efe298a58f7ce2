import type { UpstreamId } from "@ibislanding/core";
import type { CacheChange, LoadReport } from "@ibislanding/routing";
import type { Arrival } from "../workload/arrival";
import type { EngineJob } from "./engineJob";

/** Simulated inference engine with continuous batching and a prefix cache, without I/O. */
export interface FakeEngine {
    readonly upstreamId: UpstreamId;
    readonly submit: (arrival: Arrival) => void;
    /** Runs one iteration that ends at the given time. */
    readonly runIteration: (nowMs: number) => void;
    readonly measureLoad: () => LoadReport;
    /** Returns the cache changes since the last call, except simulated losses, and the newest sequence number. */
    readonly drainCacheChanges: () => { readonly changes: readonly CacheChange[]; readonly lastSequence: number; };
    /** Stops the engine and returns its unfinished jobs. */
    readonly stop: () => readonly EngineJob[];
    readonly prefilledTokens: () => number;
}
