import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";

const MAXIMUM_TARGET_LENGTH = 4_096;

interface Target {
    readonly segments: readonly string[];
    readonly query: URLSearchParams;
}

const malformed = (reason: string): Failure => createFailure(ErrorCode.BadRequest, { message: reason });

const decodeSegments = (path: string): Result<readonly string[], Failure> => {
    try {
        return Ok(path.split("/").slice(1).map(decodeURIComponent));
    }
    catch {
        return Err(malformed("The path has an invalid percent escape."));
    }
};

/** Splits a request target into decoded path segments and a query; `.` and `..` segments are not resolved. */
export const parseTarget = (target: string): Result<Target, Failure> => {
    if (!target.startsWith("/") || target.length > MAXIMUM_TARGET_LENGTH) {
        return Err(malformed(`The request target must be a path of at most ${MAXIMUM_TARGET_LENGTH} characters.`));
    }
    const queryStart = target.indexOf("?");
    const path = queryStart < 0 ? target : target.slice(0, queryStart);
    const query = new URLSearchParams(queryStart < 0 ? "" : target.slice(queryStart + 1));
    return decodeSegments(path).map(segments => ({ segments, query }));
};
