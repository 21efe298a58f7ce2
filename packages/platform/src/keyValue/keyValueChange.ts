import type { KeyValueEntry } from "./keyValueEntry";

/** One change in the history of the store: an entry as written, or the removal of a key. */
export type KeyValueChange =
    | { readonly kind: "written"; readonly entry: KeyValueEntry; }
    | { readonly kind: "removed"; readonly key: string; readonly version: number; };
