import type { AccountId } from "@ibislanding/core";
import type { LimitsState } from "../state/limitsState";

/** Frees the concurrency that an admitted request occupied; call it once when the request ends. */
export const releaseRequest = (state: LimitsState, accountId: AccountId): void => {
    const account = state.accounts.get(accountId);
    if (account !== undefined && account.running > 0) {
        account.running--;
        state.inFlight--;
    }
};
