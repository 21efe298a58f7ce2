import type { Brand } from "../brand";

/** Name of a declared service. */
export type ServiceName = Brand<string, "ServiceName">;
