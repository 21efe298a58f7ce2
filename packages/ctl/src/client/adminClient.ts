import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { AdminCall } from "./adminCall";
import type { HttpCall } from "./httpCall";

/** Client of the administration API. */
export interface AdminClient {
    /** Makes a call; another server is tried only when nothing was sent, or for reads. */
    readonly call: <T>(call: AdminCall) => Promise<Result<T, Failure>>;
    /** Returns the exchanges, one a server, that the call consists of. */
    readonly createHttpCalls: (call: AdminCall) => readonly HttpCall[];
}
