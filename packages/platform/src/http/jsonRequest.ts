/** HTTP request with a JSON or text body. */
export interface JsonRequest {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    readonly url: string;
    readonly headers?: Readonly<Record<string, string>>;
    /**
     * Headers that must be current when the request is sent: asked for once there is a connection, right before the first
     * byte. The request is not sent if it returns undefined.
     */
    readonly headersAtSend?: () => Readonly<Record<string, string>> | undefined;
    readonly body?: string;
    readonly timeoutMs: number;
    readonly signal?: AbortSignal;
}
