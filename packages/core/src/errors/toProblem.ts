import { errorMessages } from "./errorMessages";
import type { Failure } from "./failure";
import { httpStatusOf } from "./httpStatusOf";
import type { Problem } from "./problem";

/** Converts a failure to the body of an error response. */
export const toProblem = (failure: Failure, requestId?: string): Problem => ({
    type: `urn:ibislanding:error:${failure.code}`,
    title: errorMessages[failure.code],
    status: httpStatusOf(failure.code),
    code: failure.code,
    detail: failure.message,
    requestId,
    retryAfterMs: failure.retryAfterMs,
    details: failure.details,
});
