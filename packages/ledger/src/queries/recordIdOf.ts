import type { AccountId, ActionKey } from "@ibislanding/core";

/** Returns the id of a record within the ledger; keys of different accounts never share one. */
export const recordIdOf = (target: { readonly accountId: AccountId; readonly key: ActionKey; }): string =>
    `${encodeURIComponent(target.accountId)}/${target.key}`;
