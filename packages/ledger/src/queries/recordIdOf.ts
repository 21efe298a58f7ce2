import type { AccountId, ActionKey } from "@ibislanding/core";

/** Returns the id of a record, which differs between client accounts even for the same key. */
export const recordIdOf = (target: { readonly accountId: AccountId; readonly key: ActionKey; }): string =>
    `${encodeURIComponent(target.accountId)}/${target.key}`;
