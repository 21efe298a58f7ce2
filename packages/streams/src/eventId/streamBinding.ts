import type { AccountId } from "@ibislanding/core";

/** Client account and request body to which an event id is bound. */
export interface StreamBinding {
    readonly accountId: AccountId;
    readonly bodySha256: string;
}
