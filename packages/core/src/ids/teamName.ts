import type { Brand } from "../brand";

/** Name of a team of operators that own resources. */
export type TeamName = Brand<string, "TeamName">;
