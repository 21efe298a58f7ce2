import type { MemberReport } from "../ports/memberReport";
import type { InForceState } from "./inForceState";

/** States of members that have stopped and are not expected to report. */
const ENDED_STATES = new Set(["dead", "left"]);

/** Role that serves requests; without a member in this role no revision can be in force. */
const SERVING_ROLE = "entry";

const MAXIMUM_NAMED_HOSTS = 5;

const isServing = ({ role }: MemberReport): boolean => role === SERVING_ROLE || role === `ibis-${SERVING_ROLE}`;

/** Determines from the members' reports whether a revision is in force on all members. */
export const inForceStateOf = (reports: readonly MemberReport[], revision: number): InForceState => {
    const expected = reports.filter(({ state }) => !ENDED_STATES.has(state));
    const behind = expected.filter(({ configurationRevision }) => configurationRevision < revision);
    const counts = { membersInForce: expected.length - behind.length, membersExpected: expected.length };
    if (!expected.some(isServing)) {
        return { ...counts, status: "Unknown", reason: "NoEntryHostReports" };
    }
    if (behind.length === 0) {
        return { ...counts, status: "True", reason: "AllMembersReport" };
    }
    const hostIds = behind.slice(0, MAXIMUM_NAMED_HOSTS).map(({ hostId }) => hostId);
    const others = behind.length - hostIds.length;
    return {
        ...counts,
        status: "False",
        reason: `WaitingFor ${hostIds.join(", ")}${others > 0 ? ` and ${others} more` : ""}`,
    };
};
