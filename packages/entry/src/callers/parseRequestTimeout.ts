import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";

const MAXIMUM_TIMEOUT_MS = 3_600_000;

/** Parses the `X-Request-Timeout-Ms` header, capped at the default; fails with `bad_request` if it is invalid. */
export const parseRequestTimeout = (header: string | undefined, defaultTimeoutMs: number): Result<number, Failure> => {
    if (header === undefined) {
        return Ok(defaultTimeoutMs);
    }
    const timeoutMs = Number(header);
    return /^\d{1,7}$/.test(header) && timeoutMs >= 1 && timeoutMs <= MAXIMUM_TIMEOUT_MS
        ? Ok(Math.min(timeoutMs, defaultTimeoutMs))
        : Err(createFailure(ErrorCode.BadRequest, {
            message: `X-Request-Timeout-Ms must be a whole number from 1 to ${MAXIMUM_TIMEOUT_MS}.`,
        }));
};
