import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import { readBody } from "./readBody";

const parseJson = (text: string): Result<unknown, Failure> => {
    try {
        return Ok(JSON.parse(text) as unknown);
    }
    catch {
        return Err(createFailure(ErrorCode.BadRequest, { message: "The body is not valid JSON." }));
    }
};

/** Reads and parses a JSON request body; fails like `readBody`, and with `bad_request` for invalid JSON. */
export const readJsonBody = async (
    request: IncomingMessage,
    response: ServerResponse,
    maximumBytes: number,
): Promise<Result<unknown, Failure>> =>
    (await readBody(request, response, maximumBytes)).andThen(body => parseJson(body.toString("utf8")));
