import type { AccountId } from "@ibislanding/core";

/** Declaration of a client account. */
export interface ClientAccount {
    readonly accountId: AccountId;
    readonly apiKeys: readonly string[];
    /** Takes precedence over the route's priority. */
    readonly priority: number | undefined;
    readonly unit: "requests" | "tokens";
    /** Tokens charged for a request without a token count. */
    readonly plainTokens: number;
    /** Rate in units per second across all hosts; 0 means unlimited. */
    readonly ratePerS: number;
    readonly burst: number;
}
