import type { Brand } from "../brand";

/** Name of a team of operators. */
export type TeamName = Brand<string, "TeamName">;
