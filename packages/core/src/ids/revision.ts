import type { Brand } from "../brand";

/** Revision of the whole configuration; incremented by one with every accepted change. */
export type Revision = Brand<number, "Revision">;
