import type { AccountId, SoftwareVersion } from "@ibislanding/core";

/** What the first host of a relayed request states about it. */
export interface RelayHead {
    /** `ip:port` of the sender's listener for other hosts. */
    readonly sender: string;
    readonly accountId?: AccountId | undefined;
    /** Set if the account is above its rate: the time until units become available. */
    readonly spareWaitMs?: number | undefined;
    /** Time until the deadline of the request. */
    readonly remainingMs: number;
    /** Whether no send of the request was counted for the retry budget yet. */
    readonly isFirstSend: boolean;
    readonly bodyBytes: number;
    /** Version that wrote the events which the caller has, if the first host knows it. */
    readonly softwareVersion?: SoftwareVersion | undefined;
    /** Id of the last event that the caller has from the first host. */
    readonly lastEventId?: string | undefined;
}
