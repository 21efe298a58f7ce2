import type { MemberReport } from "./memberReport";

/** Port to the latest report of each member. */
export interface MemberReports {
    readonly list: () => readonly MemberReport[];
}
