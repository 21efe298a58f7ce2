/** One HTTP exchange with JSON or text bodies. */
export interface JsonRequest {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    readonly url: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly timeoutMs: number;
    readonly signal?: AbortSignal;
}
