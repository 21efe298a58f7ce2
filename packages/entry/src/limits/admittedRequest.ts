/** A request that was admitted; disposing of it gives its place back. */
export type AdmittedRequest = Disposable;
