import type { AccountId, UpstreamId } from "@ibislanding/core";

import type { RunHandle } from "../engines/runHandle";

/** What the gateway adds to a request for an upstream. */
export interface UpstreamRequestHead {
    readonly upstreamId: UpstreamId;
    /** Time that is left for the answer. */
    readonly deadlineMs: number;
    readonly accountId: AccountId | undefined;
    /** 0 is the most urgent; set for engines. */
    readonly urgency: number | undefined;
    /** Set when a broken stream goes on after this event. */
    readonly lastEventId: string | undefined;
    /** Set when a run goes on that was moved. */
    readonly handle: RunHandle | undefined;
}
