import type { Brand } from "../brand";

/** Id of one upstream replica; a replacement has a new one. */
export type UpstreamId = Brand<string, "UpstreamId">;
