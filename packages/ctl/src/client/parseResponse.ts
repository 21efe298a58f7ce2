import { createFailure, ErrorCode, type Failure, parseJson } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { HttpResponse } from "./httpResponse";

const MAXIMUM_EXCERPT_LENGTH = 200;

const knownCodes = new Set<unknown>(Object.values(ErrorCode));

const toFailure = (status: number, problem: Readonly<Record<string, unknown>>, body: string): Failure => {
    if (!knownCodes.has(problem.code)) {
        const message = `The server responded with status ${status}: ${body.slice(0, MAXIMUM_EXCERPT_LENGTH)}`;
        return createFailure(ErrorCode.Internal, { message });
    }
    return createFailure(problem.code as ErrorCode, {
        ...(typeof problem.detail === "string" ? { message: problem.detail } : {}),
        ...(typeof problem.retryAfterMs === "number" ? { retryAfterMs: problem.retryAfterMs } : {}),
        details: (problem.details ?? {}) as Readonly<Record<string, unknown>>,
    });
};

/**
 * Parses a response: the JSON document of a successful one, or the failure described by its problem document. Fails
 * with `internal` when there is no such document.
 */
export const parseResponse = <T>({ status, body }: HttpResponse): Result<T, Failure> => {
    const parsed = parseJson(body);
    const isObject = typeof parsed === "object" && parsed !== null;
    if (status < 300 && isObject) {
        return Ok(parsed as T);
    }
    return Err(toFailure(status, isObject ? parsed as Record<string, unknown> : {}, body));
};
