import type { MemberReports } from "./memberReports";

/** Reports nothing, so that no revision counts as in force. */
export const noMemberReports: MemberReports = { list: () => [] };
