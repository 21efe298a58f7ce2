import type { AccountId } from "@ibislanding/core";
import type { LimitsState } from "../state/limitsState";

/** Notes the end of an admitted request. */
export const releaseRequest = (state: LimitsState, accountId: AccountId): void => {
    const account = state.accounts.get(accountId);
    if (account !== undefined && account.running > 0) {
        account.running--;
        state.inFlight--;
    }
};
