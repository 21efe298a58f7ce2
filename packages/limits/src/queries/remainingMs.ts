import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";

/** Returns the time until a deadline, which is passed on to the upstream, or fails with `deadline_passed`. */
export const remainingMs = (deadlineMs: number, nowMs: number): Result<number, Failure> =>
    deadlineMs > nowMs ? Ok(deadlineMs - nowMs) : Err(createFailure(ErrorCode.DeadlinePassed));
