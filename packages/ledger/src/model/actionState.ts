/** State of a recorded action: `claimed` may still run, `done` has an answer, `unknown` may or may not have run. */
export type ActionState = "claimed" | "done" | "unknown";
