/** Returns the value if it is a string, otherwise an empty string. */
export const stringOrEmpty = (value: unknown): string => typeof value === "string" ? value : "";
