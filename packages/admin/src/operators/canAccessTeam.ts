import type { Operator } from "./operator";

const ALL_TEAMS = "*";

/** Returns whether the operator may read and change the resources of a team. */
export const canAccessTeam = (operator: Operator, team: string): boolean =>
    operator.teams.some(allowed => allowed === ALL_TEAMS || allowed === team);
