import type { UpstreamState } from "../state/upstreamState";

/** Returns whether an upstream is kept out of routing for its failures. */
export const isEjected = (upstream: UpstreamState, nowMs: number): boolean => upstream.ejectedUntilMs > nowMs;
