import type { AccountId } from "@ibislanding/core";

/** What an event id is valid for: one client account and one request body. */
export interface StreamBinding {
    readonly accountId: AccountId;
    readonly bodySha256: string;
}
