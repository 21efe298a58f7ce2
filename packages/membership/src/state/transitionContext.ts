import type { RandomSource } from "@ibislanding/core";
import type { MembershipPolicy } from "../model/membershipPolicy";
import type { MembershipEffect } from "./membershipEffect";

/** Inputs of a transition besides the state and the event, and the receiver of its effects. */
export interface TransitionContext {
    /** Monotonic time. */
    readonly nowMs: number;
    readonly wallMs: number;
    readonly random: RandomSource;
    readonly policy: MembershipPolicy;
    readonly emit: (effect: MembershipEffect) => void;
}
