/** HTTP request with a JSON or text body. */
export interface JsonRequest {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    readonly url: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly timeoutMs: number;
    readonly signal?: AbortSignal;
}
