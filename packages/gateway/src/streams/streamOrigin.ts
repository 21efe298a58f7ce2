import type { AccountId, RequestId, ServiceName, SoftwareVersion } from "@ibislanding/core";

/** The software version that wrote the first event of a stream. */
export interface StreamOrigin {
    /** The client's attempt that brought the first event. */
    readonly requestId: RequestId;
    readonly accountId: AccountId | undefined;
    readonly service: ServiceName;
    readonly softwareVersion: SoftwareVersion;
    /** Number of the send to an upstream; a later one replaces an earlier one, of which the client has no event. */
    readonly attempt: number;
}
