import type { Statement } from "../limits/statement";
import type { Statements } from "../limits/statements";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";

/** Statements of brittle upstreams, and those that are presumed until an upstream answers. */
export interface BrittleStatements extends Pick<Statements, "observe" | "find" | "rows" | "retain"> {
    /** Whether any upstream has stated that it is brittle. */
    readonly isEmpty: () => boolean;
    /** The statement in force for a start; undefined if there is none or if it has been lifted completely. */
    readonly findInForce: (upstream: UpstreamRecord) => Statement | undefined;
    /** Part of the slots, between 0 and 1, that is added to those of a brittle upstream while the restriction is lifted. */
    readonly risenShare: (statement: Statement) => number;
}
