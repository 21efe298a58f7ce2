/** How to reach the administration API. */
export interface ConnectionContext {
    /** Base URLs of `ibis-admin` processes. */
    readonly servers: readonly string[];
    readonly token?: string;
    /** Time for one call. */
    readonly timeoutMs: number;
    /** PEM text of the authorities that certificates are checked against. */
    readonly authorityPem?: string;
}
