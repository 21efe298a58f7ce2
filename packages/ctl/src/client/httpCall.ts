/** One HTTP request with its timeout. */
export interface HttpCall {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly url: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly timeoutMs: number;
    /** PEM text of the certificate authorities that the server's certificate is verified against. */
    readonly authorityPem?: string;
}
