import type { MessageFns } from "@ibislanding/protocol";
import type { MembershipCounters } from "./membershipCounters";

type Codec<T> = Pick<MessageFns<T>, "encode">;

/** Counts messages and their encoded sizes. */
export interface TrafficCounters {
    readonly countSent: <T>(codec: Codec<T>, message: T) => void;
    readonly countReceived: <T>(codec: Codec<T>, message: T) => void;
    readonly read: () => MembershipCounters;
}
