import type { Clock, RandomSource } from "@ibislanding/core";
import type { PeerAddress } from "@ibislanding/protocol";
import type { MemberIdentity } from "../model/memberIdentity";
import type { MembershipPolicy } from "../model/membershipPolicy";
import type { MembershipTransport } from "./membershipTransport";

/** What a membership works with. */
export interface MembershipOptions {
    readonly self: MemberIdentity;
    /** Returns addresses of processes to join through; may be old or empty. */
    readonly seeds: () => Promise<readonly PeerAddress[]>;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: MembershipTransport;
    /** Called when a subscriber or the transport throws. */
    readonly onError?: (error: unknown) => void;
    readonly policy?: MembershipPolicy;
}
