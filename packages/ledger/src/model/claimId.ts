import type { Brand } from "@ibislanding/core";

/** Unique id of one attempt to run an action. */
export type ClaimId = Brand<string, "ClaimId">;
