import type { Candidate } from "../queries/candidate";

/** Choice of a policy: an upstream, or a refusal with the time after which capacity is expected. */
export type PolicyChoice =
    | { readonly type: "chosen"; readonly candidate: Candidate; readonly meetingTargetCount: number; }
    | { readonly type: "refused"; readonly timeToCapacityMs: number; };
