import type { crowdTraffics } from "./crowdTraffics";

/** Kinds of clients that send more than they should, or never finish. */
export type CrowdKind = keyof typeof crowdTraffics | "unfinished-calls";
