import type { Candidate } from "../queries/candidate";

/** Result of a routing policy: an upstream, or a refusal with the time until capacity is expected. */
export type PolicyChoice =
    | { readonly type: "chosen"; readonly candidate: Candidate; readonly meetingTargetCount: number; }
    | { readonly type: "refused"; readonly timeToCapacityMs: number; };
