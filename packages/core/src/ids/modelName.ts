import type { Brand } from "../brand";

/** Name under which callers address a model. */
export type ModelName = Brand<string, "ModelName">;
