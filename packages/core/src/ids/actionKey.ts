import type { Brand } from "../brand";

/** Idempotency key that a caller gave to one non-idempotent action. */
export type ActionKey = Brand<string, "ActionKey">;
