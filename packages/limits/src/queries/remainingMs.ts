import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";

/**
 * Returns the time left until a deadline, to be sent to the upstream as its time-out; fails with `deadline_passed` if
 * none is left.
 */
export const remainingMs = (deadlineMs: number, nowMs: number): Result<number, Failure> =>
    deadlineMs > nowMs ? Ok(deadlineMs - nowMs) : Err(createFailure(ErrorCode.DeadlinePassed));
