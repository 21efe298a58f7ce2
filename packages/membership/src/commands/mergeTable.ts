import type { Member as WireMember } from "@ibislanding/protocol";
import type { MembershipState } from "../state/membershipState";
import type { TransitionContext } from "../state/transitionContext";
import { fromWireIdentity } from "../wire/fromWireIdentity";
import { fromWireStatus } from "../wire/fromWireStatus";
import type { ReceivedStatus } from "../wire/receivedStatus";
import { mergeStatus } from "./mergeStatus";

/**
 * After a network partition, the table of each side lists the members of the other side as dead. Those that are
 * not dead in the local table are merged as suspect instead, so that they can refute in time.
 */
const downgradeToSuspect = (state: MembershipState, status: ReceivedStatus): ReceivedStatus => {
    const isNotDeadLocally = (state.members.get(status.hostId)?.state ?? "dead") !== "dead";
    return status.state === "dead" && isNotDeadLocally ? { ...status, state: "suspect", suspicionAgeMs: 0 } : status;
};

/** Merges the full member table of another process. */
export const mergeTable = (
    state: MembershipState,
    members: readonly WireMember[],
    context: TransitionContext,
): void =>
    members.forEach(member => {
        const status = member.status === undefined ? undefined : fromWireStatus(member.status, member.hostId);
        if (status !== undefined) {
            mergeStatus(state, downgradeToSuspect(state, status), fromWireIdentity(member), context);
        }
    });
