import type { Clock } from "@ibislanding/core";
import type { Membership } from "@ibislanding/membership";
import type { ControlGroup } from "./controlGroup";
import { CONTROL_ROLE } from "./controlRole";
import { createLeavingNotices } from "./createLeavingNotices";

/** Creates the control group on top of the gossip membership. */
export const createControlGroup = (membership: Membership, clock: Clock): ControlGroup => ({
    controlHosts: () => membership.liveMembers(CONTROL_ROLE).map(({ hostId }) => hostId),
    ...createLeavingNotices(membership, clock),
    subscribe: membership.subscribe,
});
