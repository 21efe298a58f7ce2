import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { AdminCall } from "./adminCall";
import type { HttpCall } from "./httpCall";

/** Client of the administration API. */
export interface AdminClient {
    /** Makes a call; tries the next server only if the request was not sent or not accepted, or for reads. */
    readonly call: <T>(call: AdminCall) => Promise<Result<T, Failure>>;
    /** Returns the HTTP calls for an API call, one per server in order of preference. */
    readonly createHttpCalls: (call: AdminCall) => readonly HttpCall[];
}
