import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ServiceCall } from "./serviceCall";
import type { ServiceResponse } from "./serviceResponse";

/**
 * Client of one replica of a plain service. A call fails with `upstream_unreachable` if nothing was sent,
 * `upstream_refused` if the replica rejected it before running it, and `upstream_silent`,
 * `upstream_invalid_answer` or, after an abort, `cancelled` if it may have run.
 */
export interface ServiceClient {
    readonly call: (call: ServiceCall, signal: AbortSignal) => Promise<Result<ServiceResponse, Failure>>;
}
