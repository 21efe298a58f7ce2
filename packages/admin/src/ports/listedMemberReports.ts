import type { MemberReports } from "./memberReports";

/** Member reports that also name hosts which were listed but not heard from yet. */
export interface ListedMemberReports extends MemberReports, AsyncDisposable {}
