import type { MembershipState } from "../state/membershipState";
import { fingerprint } from "./fingerprint";

const computeDigest = (state: MembershipState): number =>
    [...state.members.values()]
        .filter(member => member.state !== "dead")
        .reduce(
            (digest, { hostId, incarnation, state: liveness, reportVersion }) =>
                (digest ^ fingerprint(`${hostId} ${incarnation} ${liveness === "leaving"} ${reportVersion}`)) >>> 0,
            0,
        );

/** Returns a hash of all members that are not dead, equal for equal tables; suspicions are not included. */
export const tableDigest = (state: MembershipState): number => {
    state.digest ??= computeDigest(state);
    return state.digest;
};
