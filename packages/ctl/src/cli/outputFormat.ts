/** How a command writes its result. */
export type OutputFormat = "table" | "json";
