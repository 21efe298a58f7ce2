import type { AccountId } from "@ibislanding/core";

/** A client account as declared. */
export interface ClientAccount {
    readonly accountId: AccountId;
    readonly apiKeys: readonly string[];
    /** Takes precedence over the route's priority. */
    readonly priority: number | undefined;
    readonly unit: "requests" | "tokens";
    /** Tokens that a request without a token count stands for. */
    readonly plainTokens: number;
    /** Rate over all hosts, in units; 0 is unlimited. */
    readonly ratePerS: number;
    readonly burst: number;
}
