import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { AdminCall } from "./adminCall";
import type { HttpCall } from "./httpCall";

/** Client of the administration API. */
export interface AdminClient {
    /**
     * Makes a call. Tries the next server when no connection was established or the server responded `not_ready`; for
     * a `GET`, also when the response was lost.
     */
    readonly call: <T>(call: AdminCall) => Promise<Result<T, Failure>>;
    /** Returns the HTTP calls for an API call, one per server in order of preference. */
    readonly createHttpCalls: (call: AdminCall) => readonly HttpCall[];
}
