import { parseJson } from "@ibislanding/core";
import type { RolloutPhase, RolloutState } from "@ibislanding/rollouts";

const PHASES: ReadonlySet<unknown> = new Set<RolloutPhase>(["canary", "ramp", "promoting", "completed", "rolled-back"]);

const isText = (value: unknown): boolean => typeof value === "string";
const isNumber = (value: unknown): boolean => typeof value === "number" && Number.isFinite(value);

/** Parses a stored state; returns undefined if it is malformed. */
export const parseRolloutState = (value: string): RolloutState | undefined => {
    const state = parseJson(value) as Partial<RolloutState> | null | undefined;
    if (typeof state !== "object" || state === null) {
        return undefined;
    }
    const { orderId, service, target, reason, startedAtMs, phaseSinceMs, deadlineMs, share, phase } = state;
    const isValid = [orderId, service, target, reason].every(isText)
        && [startedAtMs, phaseSinceMs, deadlineMs, share].every(isNumber)
        && PHASES.has(phase)
        && Array.isArray(state.excluded) && state.excluded.every(isText)
        && Array.isArray(state.evidenceAtStart);
    return isValid ? state as RolloutState : undefined;
};
