import type { Brand } from "../brand";

/** Name by which callers request a model. */
export type ModelName = Brand<string, "ModelName">;
