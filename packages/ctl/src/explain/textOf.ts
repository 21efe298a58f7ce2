/** Returns a field that holds a text; empty for all others. */
export const textOf = (value: unknown): string => typeof value === "string" ? value : "";
