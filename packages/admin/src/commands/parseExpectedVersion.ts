import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import type { IncomingHttpHeaders } from "node:http";
import { Err, Ok, type Result } from "ts-results";

const ENTITY_TAG_PATTERN = /^"(\d{1,15})"$/;

const invalid = (field: string, reason: string): Failure =>
    createFailure(ErrorCode.BadRequest, { message: `${field}: ${reason}`, details: { field } });

/**
 * Parses the expected version from `If-Match: "<version>"` or `If-None-Match: *`; the latter gives 0, for a resource
 * that must not exist. Returns undefined if the request has neither header.
 */
export const parseExpectedVersion = (headers: IncomingHttpHeaders): Result<number | undefined, Failure> => {
    const ifMatch = headers["if-match"];
    const ifNoneMatch = headers["if-none-match"];
    if (ifMatch !== undefined && ifNoneMatch !== undefined) {
        return Err(invalid("If-Match", "cannot be used together with If-None-Match"));
    }
    if (ifNoneMatch !== undefined) {
        return ifNoneMatch === "*" ? Ok(0) : Err(invalid("If-None-Match", "must be *"));
    }
    if (ifMatch === undefined) {
        return Ok(undefined);
    }
    const version = ENTITY_TAG_PATTERN.exec(ifMatch)?.[1];
    return version === undefined
        ? Err(invalid("If-Match", "must be a version in double quotes"))
        : Ok(Number(version));
};
