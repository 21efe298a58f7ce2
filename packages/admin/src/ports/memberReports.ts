import type { MemberReport } from "./memberReport";

/** Port to the members' latest reports. */
export interface MemberReports {
    readonly list: () => readonly MemberReport[];
}
