import type { FeatureId } from "@ibislanding/quarantine";
import type { Continuation } from "../engines/continuation";

/** Outcome of one attempt; the kinds are also the outcomes in logs and metrics. */
export type AttemptOutcome =
    | { readonly kind: "done"; readonly status: number; }
    /**
     * The request may be sent to another upstream; `isCharged` if the retry has already been charged to the retry
     * budget.
     */
    | { readonly kind: "elsewhere"; readonly reason: string; readonly isCharged: boolean; }
    /** Stopped deliberately; the run is continued at another engine. */
    | { readonly kind: "moved"; readonly reason: string; readonly continuation: Continuation; }
    /**
     * The request may have run; it may be sent to another upstream only if it is repeatable. `suspectedIds` has the
     * features that may have crashed the upstream, which is empty if the connection was not lost.
     */
    | { readonly kind: "repeat"; readonly reason: string; readonly suspectedIds: readonly FeatureId[]; };
