import type { AccountId, SoftwareVersion } from "@ibislanding/core";

/** What another host states about a request that it relays to this one, and what it is told. */
export interface RelayedRequest {
    /** Address of the other host. */
    readonly sender: string;
    readonly accountId?: AccountId | undefined;
    /** Set if the account is above its rate: the time until units become available. */
    readonly spareWaitMs?: number | undefined;
    readonly remainingMs: number;
    /** Whether no send of the request was counted for the retry budget yet. */
    readonly isFirstSend: boolean;
    /** Version that wrote the events which the client has from the other host. */
    readonly softwareVersion?: SoftwareVersion | undefined;
    readonly lastEventId?: string | undefined;
    /** Called with the number of bytes of the body that have been read. */
    readonly onBodyBytes: (receivedBytes: number) => void;
    /** Called before the head of a refusal. */
    readonly onRefusal: (reason: string) => void;
    /** Called before the head of an upstream's answer. */
    readonly onAnswer: (softwareVersion: string) => void;
}
