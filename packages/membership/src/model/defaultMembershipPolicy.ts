import { defaultMembershipTiming } from "./defaultMembershipTiming";
import type { MembershipPolicy } from "./membershipPolicy";

/** A single witness could itself have lost the probe of a healthy member. */
const REQUIRED_WITNESSES = 2;

/** Policy of the programs. */
export const defaultMembershipPolicy: MembershipPolicy = {
    timing: defaultMembershipTiming,
    pauseMs: (delayMs, timing) => (delayMs > timing.pauseThresholdMs ? delayMs : 0),
    justifiesSuspicion: ({ helpersAsked, witnesses, sinceAnswerMs }, timing) =>
        witnesses >= Math.min(REQUIRED_WITNESSES, helpersAsked) || sinceAnswerMs > timing.isolationMs,
    refutingIncarnation: suspectedIncarnation => suspectedIncarnation + 1,
};
