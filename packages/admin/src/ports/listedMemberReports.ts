import type { MemberReports } from "./memberReports";

/** Member reports that include listed hosts which have not reported yet. */
export interface ListedMemberReports extends MemberReports, AsyncDisposable {}
