import { Err, Ok, type Result } from "ts-results";
import type { RelayHead } from "../messages/relayHead";

/** What a peer decides by whether it takes a relayed request. */
interface RelayedRequestFacts {
    /** Number of marks; each host that relays a request adds one. */
    readonly marks: number;
    /** Undefined if it is missing or malformed. */
    readonly head: RelayHead | undefined;
    readonly isKnownSender: (address: string) => boolean;
    readonly reachesUpstreams: boolean;
}

/** Returns the head of a relayed request that a peer takes, or the reason why it is refused without being run. */
export const checkRelayedRequest = (
    { marks, head, isKnownSender, reachesUpstreams }: RelayedRequestFacts,
): Result<RelayHead, string> => {
    if (head === undefined || marks === 0) {
        return Err("relay_head_invalid");
    }
    if (marks > 1) {
        return Err("relayed_twice");
    }
    if (!isKnownSender(head.sender)) {
        return Err("unknown_sender");
    }
    if (head.remainingMs <= 0) {
        return Err("relay_deadline_passed");
    }
    return reachesUpstreams ? Ok(head) : Err("cut_off");
};
