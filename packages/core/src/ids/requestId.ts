import type { Brand } from "../brand";

/** Id of one caller's request, unique over all entry hosts. */
export type RequestId = Brand<string, "RequestId">;
