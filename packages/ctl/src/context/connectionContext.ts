/** Servers and credentials of the administration API. */
export interface ConnectionContext {
    /** Base URLs of `ibis-admin` processes. */
    readonly servers: readonly string[];
    readonly token?: string;
    /** Timeout of one call. */
    readonly timeoutMs: number;
    /** PEM text of the certificate authorities that server certificates are verified against. */
    readonly authorityPem?: string;
}
