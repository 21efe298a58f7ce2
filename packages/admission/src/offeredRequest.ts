import type { AccountId, ServiceName } from "@ibislanding/core";

/** A request as far as its admission depends on it. */
export interface OfferedRequest {
    readonly service: ServiceName;
    /** That of the account, else that of the route. */
    readonly urgency: number;
    readonly accountId: AccountId | "";
    readonly units: number;
}
