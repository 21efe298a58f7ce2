import type { Brand } from "../brand";

/** Name of a client account, unique within the configuration. */
export type AccountId = Brand<string, "AccountId">;
