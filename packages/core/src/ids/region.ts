import type { Brand } from "../brand";

/** Name of a region. */
export type Region = Brand<string, "Region">;
