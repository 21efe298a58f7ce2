import type { Clock, RandomSource } from "@ibislanding/core";
import type { PeerAddress } from "@ibislanding/protocol";
import type { MemberIdentity } from "../model/memberIdentity";
import type { MembershipPolicy } from "../model/membershipPolicy";
import type { MembershipTransport } from "./membershipTransport";

/** Identity, dependencies and policy of a membership. */
export interface MembershipOptions {
    readonly self: MemberIdentity;
    /** Returns addresses of processes to join through; may be outdated or empty. */
    readonly seeds: () => Promise<readonly PeerAddress[]>;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: MembershipTransport;
    /** Called with errors thrown by a subscriber, the transport, the seeds or the handling of an event. */
    readonly onError?: (error: unknown) => void;
    readonly policy?: MembershipPolicy;
}
