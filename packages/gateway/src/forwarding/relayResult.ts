import type { ReceivedBody } from "./receivedBody";

/** Result of relaying the body of a response; no part of an incomplete event was relayed. */
export interface RelayResult {
    /** Why the body is incomplete; undefined if it is complete. */
    readonly defect: string | undefined;
    /** Whether the relay ended it because of what it contained; the upstream may be sound. */
    readonly isBrokenOff: boolean;
    /** Id of the last event that was relayed. */
    readonly lastEventId: string | undefined;
    readonly received: ReceivedBody;
}
