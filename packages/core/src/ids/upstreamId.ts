import type { Brand } from "../brand";

/** Id of an upstream replica; a replacement replica gets a new id. */
export type UpstreamId = Brand<string, "UpstreamId">;
