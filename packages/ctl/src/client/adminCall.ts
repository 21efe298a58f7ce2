import type { HttpCall } from "./httpCall";

/** One call to the administration API, without server and credentials. */
export interface AdminCall extends Pick<HttpCall, "method" | "headers"> {
    /** Path with query string. */
    readonly path: string;
    /** Request body, sent as JSON. */
    readonly document?: unknown;
}
