import type { Brand } from "../brand";

/** Id of a change submitted by an operator; a retry with the same id is idempotent. */
export type OperationId = Brand<string, "OperationId">;
