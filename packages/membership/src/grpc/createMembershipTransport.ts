import { MembershipServiceService, type PeerClients } from "@ibislanding/protocol";
import type { MembershipTransport } from "../task/membershipTransport";

/** Creates a transport that calls the membership services of other processes over gRPC. */
export const createMembershipTransport = (clients: PeerClients): MembershipTransport => ({
    probe: (peer, request, timeoutMs) => clients.call(peer, MembershipServiceService.probe, request, timeoutMs),
    sync: (peer, request, timeoutMs) => clients.call(peer, MembershipServiceService.sync, request, timeoutMs),
});
