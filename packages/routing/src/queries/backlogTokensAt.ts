import type { UpstreamState } from "../state/upstreamState";
import { prefillRateOf } from "./prefillRateOf";

/** Estimates the prompt tokens that wait at an upstream: the last estimate less what it processed since. */
export const backlogTokensAt = (upstream: UpstreamState, nowMs: number): number =>
    Math.max(0, upstream.backlogTokens - prefillRateOf(upstream) * Math.max(0, nowMs - upstream.backlogAtMs));
