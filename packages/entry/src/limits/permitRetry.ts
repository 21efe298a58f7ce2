import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { withdrawRetry } from "@ibislanding/limits";
import { Err, Ok, type Result } from "ts-results";
import type { EntryServices } from "../entryServices";

/** Shortest `Retry-After` sent when the retry budget is exhausted; random jitter adds up to the same amount. */
const RETRY_AFTER_MS = 1_000;

/** Consumes one retry from the budget of a service; fails with `overloaded` when the budget is exhausted. */
export const permitRetry = ({ limits, random }: EntryServices, service: string): Result<void, Failure> =>
    withdrawRetry(limits, service, "retry")
        ? Ok(undefined)
        : Err(createFailure(ErrorCode.Overloaded, { retryAfterMs: RETRY_AFTER_MS * (1 + random.nextFloat()) }));
