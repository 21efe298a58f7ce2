import type { KeyValueEntry } from "./keyValueEntry";

/** One change in the history of the store: the entry as written, or the removal of its key. */
export type KeyValueChange =
    | { readonly kind: "written"; readonly entry: KeyValueEntry; }
    | { readonly kind: "removed"; readonly key: string; readonly version: number; };
