import { parseJson } from "@ibislanding/core";
import type { RolloutState } from "@ibislanding/rollouts";
import * as z from "zod";

const count = z.number().nonnegative();

const evidenceSchema = z.object({
    service: z.string(),
    version: z.string(),
    route: z.string(),
    sent: count,
    answers: count,
    failures: count,
    slow: count,
});

const stateSchema = z.looseObject({
    orderId: z.string(),
    service: z.string(),
    target: z.string(),
    reason: z.string(),
    startedAtMs: z.number(),
    phaseSinceMs: z.number(),
    deadlineMs: z.number(),
    share: z.number(),
    phase: z.enum(["canary", "ramp", "promoting", "completed", "rolled-back"]),
    excluded: z.array(z.string()),
    evidenceAtStart: z.array(evidenceSchema),
});

/** Parses a stored state; returns undefined if it is malformed. */
export const parseRolloutState = (value: string): RolloutState | undefined =>
    stateSchema.safeParse(parseJson(value)).data as RolloutState | undefined;
