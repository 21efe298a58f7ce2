import type { AccountId, UpstreamId } from "@ibislanding/core";

/** What the gateway adds to a request for an upstream. */
export interface SendHead {
    readonly upstreamId: UpstreamId;
    /** Time that is left for the answer. */
    readonly deadlineMs: number;
    readonly accountId: AccountId | undefined;
    /** 0 is the most urgent; set for engines. */
    readonly urgency: number | undefined;
    /** Set when a broken stream goes on after this event. */
    readonly lastEventId: string | undefined;
}
