import type { Brand } from "../brand";

/** Id of one operator's change; a retry with the same id is idempotent. */
export type OperationId = Brand<string, "OperationId">;
