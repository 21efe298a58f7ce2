import type { IdentifiedSuspect } from "./identifiedSuspect";

/** Returns the same value for all attempts of one request. */
export type RequestKeyOf = (suspect: IdentifiedSuspect) => unknown;
