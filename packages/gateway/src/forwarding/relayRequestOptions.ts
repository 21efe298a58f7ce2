import type { AccountId, RequestId, ServiceName, SoftwareVersion } from "@ibislanding/core";

/** A request to be passed to a peer. */
export interface RelayRequestOptions {
    readonly requestId: RequestId | undefined;
    readonly service: ServiceName;
    /** Addresses of the only hosts that may take the request; undefined for all that reach upstreams of the service. */
    readonly hosts: readonly string[] | undefined;
    readonly method: string;
    /** Path with the query. */
    readonly target: string;
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    readonly accountId: AccountId | undefined;
    /** Set if the account is above its rate: the time until units become available. */
    readonly spareWaitMs: number | undefined;
    /** Whether no send of the request was counted for the retry budget yet. */
    readonly isFirstSend: boolean;
    readonly softwareVersion: SoftwareVersion | undefined;
    /** Id of the last event that was sent to the client. */
    readonly lastEventId: string | undefined;
    /** Monotonic time of the deadline. */
    readonly dueAtMs: number;
    readonly signal: AbortSignal;
}
