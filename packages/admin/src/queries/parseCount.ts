import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";

const COUNT_PATTERN = /^\d{1,15}$/;

/** Parses a non-negative integer from a query parameter; returns the default if the parameter is missing. */
export const parseCount = (query: URLSearchParams, field: string, defaultValue: number): Result<number, Failure> => {
    const text = query.get(field) ?? String(defaultValue);
    return COUNT_PATTERN.test(text)
        ? Ok(Number(text))
        : Err(createFailure(ErrorCode.BadRequest, {
            message: `${field}: must be a whole number that is not negative`,
            details: { field, value: text.slice(0, 80) },
        }));
};
