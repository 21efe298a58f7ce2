import type { RandomSource } from "@ibislanding/core";
import type { MembershipPolicy } from "../model/membershipPolicy";
import type { MembershipEffect } from "./membershipEffect";

/** What a transition may use besides the state and the event. */
export interface TransitionContext {
    /** Monotonic time. */
    readonly nowMs: number;
    readonly wallMs: number;
    readonly random: RandomSource;
    readonly policy: MembershipPolicy;
    readonly emit: (effect: MembershipEffect) => void;
}
