import type { Brand } from "../brand";

/** Revision of the whole configuration; increases by one with every accepted change. */
export type Revision = Brand<number, "Revision">;
