import type { MemberIdentity } from "../model/memberIdentity";
import type { MemberState } from "../model/memberState";
import { ringPositionsOf } from "../queries/ringPositionsOf";
import type { MemberRecord } from "../state/memberRecord";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import type { ReceivedStatus } from "../wire/receivedStatus";
import { enqueueMember } from "./enqueueMember";
import { markChanged } from "./markChanged";
import { refute } from "./refute";
import { setMemberState } from "./setMemberState";

/** Of two states with the same incarnation, the one with the higher precedence prevails. */
const precedence: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, leaving: 2, dead: 3 };

const prevails = (status: ReceivedStatus, record: MemberRecord): boolean =>
    status.incarnation > record.incarnation
    || (status.incarnation === record.incarnation && precedence[status.state] > precedence[record.state]);

const addMember = (
    state: MembershipState,
    status: ReceivedStatus,
    identity: MemberIdentity,
    context: TransitionContext,
): void => {
    const record: MemberRecord = {
        ...identity,
        incarnation: status.incarnation,
        state: status.state,
        configurationRevision: status.configurationRevision,
        reportVersion: status.reportVersion,
        stateSinceMs: context.nowMs - status.suspicionAgeMs,
        ringPositions: ringPositionsOf(identity.hostId, context.policy.timing.ringTargetCount),
    };
    state.members.set(record.hostId, record);
    enqueueMember(state, record, true);
    markChanged(state, context);
};

const mergeState = (
    state: MembershipState,
    record: MemberRecord,
    status: ReceivedStatus,
    context: TransitionContext,
): void => {
    const sinceMs = context.nowMs - status.suspicionAgeMs;
    if (prevails(status, record)) {
        record.incarnation = status.incarnation;
        setMemberState(state, record, status.state, sinceMs, context);
    }
    else if (status.state === "suspect" && record.state === "suspect" && status.incarnation === record.incarnation) {
        record.stateSinceMs = Math.min(record.stateSinceMs, sinceMs);
    }
};

const mergeReport = (
    state: MembershipState,
    record: MemberRecord,
    status: ReceivedStatus,
    context: TransitionContext,
): void => {
    if (status.reportVersion > record.reportVersion) {
        record.reportVersion = status.reportVersion;
        record.configurationRevision = status.configurationRevision;
        enqueueMember(state, record, false);
        markChanged(state, context);
    }
};

/**
 * Merges the status of a member received from another process. An unknown member is added only if its identity is
 * included and it is not dead; a status of this process may have to be refuted.
 */
export const mergeStatus = (
    state: MembershipState,
    status: ReceivedStatus,
    identity: MemberIdentity | undefined,
    context: TransitionContext,
): void => {
    if (status.hostId === state.self.hostId) {
        refute(state, status, context);
        return;
    }
    const record = state.members.get(status.hostId);
    if (record !== undefined) {
        mergeState(state, record, status, context);
        mergeReport(state, record, status, context);
    }
    else if (identity !== undefined && status.state !== "dead") {
        addMember(state, status, identity, context);
    }
};
