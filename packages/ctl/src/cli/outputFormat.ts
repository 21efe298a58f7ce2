/** Format of command results, selected by `--output`. */
export type OutputFormat = "table" | "json";
