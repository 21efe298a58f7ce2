import type { Brand } from "../brand";

/** Idempotency key that a caller assigns to a non-idempotent action. */
export type ActionKey = Brand<string, "ActionKey">;
