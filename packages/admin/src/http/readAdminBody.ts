import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { readJsonBody } from "@ibislanding/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import { isWithinDepth } from "./isWithinDepth";

const MAXIMUM_DEPTH = 32;

const METHODS_WITH_BODY = new Set(["PUT", "POST"]);

const checkDepth = (body: unknown): Result<unknown, Failure> =>
    isWithinDepth(body, MAXIMUM_DEPTH)
        ? Ok(body)
        : Err(createFailure(ErrorCode.BadRequest, {
            message: `The body nests deeper than ${MAXIMUM_DEPTH} levels.`,
        }));

const isJson = (contentType: string | undefined): boolean =>
    contentType === undefined || /^application\/(json|[a-z.-]+\+json)\s*(;|$)/i.test(contentType);

/** Reads the JSON body of a PUT or POST request; undefined for other methods. */
export const readAdminBody = async (
    request: IncomingMessage,
    response: ServerResponse,
    maximumBytes: number,
): Promise<Result<unknown, Failure>> => {
    if (!METHODS_WITH_BODY.has(request.method ?? "")) {
        return Ok(undefined);
    }
    if (!isJson(request.headers["content-type"])) {
        return Err(createFailure(ErrorCode.UnsupportedMediaType));
    }
    return (await readJsonBody(request, response, maximumBytes)).andThen(checkDepth);
};
