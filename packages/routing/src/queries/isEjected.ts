import type { UpstreamState } from "../state/upstreamState";

/** Returns whether an upstream is excluded from routing because of consecutive failures. */
export const isEjected = (upstream: UpstreamState, nowMs: number): boolean => upstream.ejectedUntilMs > nowMs;
