import type { Brand } from "../brand";

/** Name of a cloud region, which contains availability zones. */
export type Region = Brand<string, "Region">;
