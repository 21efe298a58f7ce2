import type { HttpCall } from "./httpCall";

/** One call to the administration API. */
export interface AdminCall extends Pick<HttpCall, "method" | "headers"> {
    /** Path with its query. */
    readonly path: string;
    /** JSON document to send. */
    readonly document?: unknown;
}
