import type { Revision } from "@ibislanding/core";
import type { PeerAddress } from "@ibislanding/protocol";
import type { MemberIdentity } from "../model/memberIdentity";
import type { MembershipPolicy } from "../model/membershipPolicy";
import { ringPositionsOf } from "../queries/ringPositionsOf";
import { createUpdateQueue } from "./createUpdateQueue";
import type { MembershipState } from "./membershipState";

/** Creates the initial state of a process, which knows only itself and its seeds. */
export const createMembershipState = (
    identity: MemberIdentity,
    seeds: readonly PeerAddress[],
    policy: MembershipPolicy,
    nowMs: number,
): MembershipState => {
    const self = {
        ...identity,
        incarnation: 1,
        state: "alive" as const,
        configurationRevision: 0 as Revision,
        reportVersion: 0,
        stateSinceMs: nowMs,
        ringPositions: ringPositionsOf(identity.hostId, policy.timing.ringTargetCount),
    };
    return {
        self,
        members: new Map([[self.hostId, self]]),
        notices: new Map(),
        usages: new Map(),
        queue: createUpdateQueue(),
        probes: new Map(),
        seeds,
        version: 0,
        changedAtMs: nowMs,
        digest: undefined,
        nextProbeId: 1,
        lastTickAtMs: nowMs,
        nextProbeRoundAtMs: nowMs,
        nextRejoinAtMs: nowMs,
        nextSyncAtMs: nowMs,
        nextUrgentSendAtMs: nowMs,
        hasUrgentUpdates: false,
        lastResponseAtMs: nowMs,
        usagePublishedAtMs: undefined,
        slowness: 0,
    };
};
