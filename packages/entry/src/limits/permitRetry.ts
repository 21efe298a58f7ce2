import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { withdrawRetry } from "@ibislanding/limits";
import { Err, Ok, type Result } from "ts-results";
import type { EntryServices } from "../entryServices";

/** Time after which a caller is told to come back when no retry is left. */
const RETRY_AFTER_MS = 1_000;

/** Takes one retry from the budget of a service; fails with `overloaded` when it is spent. */
export const permitRetry = ({ limits, random }: EntryServices, service: string): Result<void, Failure> =>
    withdrawRetry(limits, service, "retry")
        ? Ok(undefined)
        : Err(createFailure(ErrorCode.Overloaded, { retryAfterMs: RETRY_AFTER_MS * (1 + random.nextFloat()) }));
