/** Returns a field that holds a text; empty for all others. */
export const stringOrEmpty = (value: unknown): string => typeof value === "string" ? value : "";
