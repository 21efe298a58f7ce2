import type { Brand } from "../brand";

/** Id of a request from a caller, unique across all entry hosts. */
export type RequestId = Brand<string, "RequestId">;
