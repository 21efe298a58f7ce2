import type { AccountId, UpstreamId } from "@ibislanding/core";

import type { RunHandle } from "../engines/runHandle";

/** Fields that the gateway adds to a request for an upstream. */
export interface UpstreamRequestHead {
    readonly upstreamId: UpstreamId;
    /** Time left until the response is due. */
    readonly deadlineMs: number;
    readonly accountId: AccountId | undefined;
    /** 0 is the most urgent; set only for engines. */
    readonly urgency: number | undefined;
    /** Set when an interrupted stream is resumed after this event. */
    readonly lastEventId: string | undefined;
    /** Set when a stopped run is continued from its KV cache. */
    readonly handle: RunHandle | undefined;
}
