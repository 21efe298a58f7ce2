import { defaultMembershipTiming } from "./defaultMembershipTiming";
import type { MembershipPolicy } from "./membershipPolicy";

/** One confirmation is not sufficient: the helper may itself have lost the probe of a healthy member. */
const REQUIRED_CONFIRMATIONS = 2;

/** Policy used in production. */
export const defaultMembershipPolicy: MembershipPolicy = {
    timing: defaultMembershipTiming,
    pauseMs: (delayMs, timing) => (delayMs > timing.pauseThresholdMs ? delayMs : 0),
    justifiesSuspicion: ({ helpersAsked, confirmations, sinceResponseMs }, timing) =>
        confirmations >= Math.min(REQUIRED_CONFIRMATIONS, helpersAsked)
        || sinceResponseMs > timing.isolationThresholdMs,
    refutingIncarnation: suspectedIncarnation => suspectedIncarnation + 1,
};
