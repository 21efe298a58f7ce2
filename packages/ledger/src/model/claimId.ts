import type { Brand } from "@ibislanding/core";

/** Id of one attempt to run an action; never used for a second attempt. */
export type ClaimId = Brand<string, "ClaimId">;
