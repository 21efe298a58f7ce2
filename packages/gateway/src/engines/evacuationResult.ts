import type { Continuation } from "./continuation";

/** Result of moving a run away from an upstream that is about to leave. */
export type EvacuationResult =
    /** The upstream was not asked to stop the run, or refused to. */
    | { readonly kind: "not-moved"; }
    | { readonly kind: "moved"; readonly continuation: Continuation; }
    /** The run has stopped, and is no longer to be continued at its upstream, which alone has its memory. */
    | { readonly kind: "stopped"; }
    /** The upstream was asked to stop the run and sent no valid response; it may have stopped the run. */
    | { readonly kind: "unknown"; };
