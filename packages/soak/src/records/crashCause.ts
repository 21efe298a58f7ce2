/** What crashes the upstreams that run a request: a part of its prompt, or the request itself, which is repeated. */
export interface CrashCause {
    readonly kind: "part" | "request";
    readonly name: string;
}
