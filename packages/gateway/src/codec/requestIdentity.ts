import type { AccountId } from "@ibislanding/core";

/** What all attempts of one request of a client have in common. */
export interface RequestIdentity {
    readonly accountId: AccountId | undefined;
    readonly method: string;
    readonly host: string;
    /** Path with the query. */
    readonly target: string;
    readonly body: Buffer;
}
