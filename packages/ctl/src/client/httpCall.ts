/** One HTTP exchange. */
export interface HttpCall {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly url: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly timeoutMs: number;
    /** PEM text of the authorities that the server's certificate is checked against. */
    readonly authorityPem?: string;
}
