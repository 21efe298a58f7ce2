import { type Failure, toProblem } from "@ibislanding/core";
import type { ServerResponse } from "node:http";
import { sendJson } from "./sendJson";

const MS_PER_SECOND = 1_000;

const RETRYABLE_STATUSES = new Set([429, 503]);

/** `Retry-After` of a retryable failure that specifies no delay. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Sends a response with an `application/problem+json` body; 429 and 503 always include `Retry-After`. */
export const sendProblem = (response: ServerResponse, failure: Failure, requestId?: string): void => {
    const problem = toProblem(failure, requestId);
    const retryAfterMs = failure.retryAfterMs
        ?? (RETRYABLE_STATUSES.has(problem.status) ? DEFAULT_RETRY_AFTER_MS : undefined);
    sendJson(response, problem.status, problem, {
        "content-type": "application/problem+json",
        ...(retryAfterMs === undefined ? {} : { "retry-after": String(Math.ceil(retryAfterMs / MS_PER_SECOND)) }),
    });
};
