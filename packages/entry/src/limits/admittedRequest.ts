/** An admitted request; disposing of it releases the slot that it holds in the account's limits. */
export type AdmittedRequest = Disposable;
