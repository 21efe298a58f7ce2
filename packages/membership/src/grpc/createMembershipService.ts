import {
    createUnaryHandler,
    MembershipServiceService,
    type PeerService,
    type ProbeRequest,
    type SyncRequest,
} from "@ibislanding/protocol";
import { Ok } from "ts-results";
import type { Membership } from "../task/membership";

/** Creates the gRPC service that handles probes and syncs of other processes. */
export const createMembershipService = (
    membership: Pick<Membership, "handleProbe" | "handleSync">,
): PeerService => ({
    definition: MembershipServiceService,
    implementation: {
        probe: createUnaryHandler(async (request: ProbeRequest) => Ok(await membership.handleProbe(request))),
        sync: createUnaryHandler(async (request: SyncRequest) => Ok(await membership.handleSync(request))),
    },
});
