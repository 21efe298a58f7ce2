import { type ActionKey, createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";

const KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;

/** Parses the `Idempotency-Key` header of an action; fails with `bad_request` if it is missing or malformed. */
export const parseActionKey = (header: string | readonly string[] | undefined): Result<ActionKey, Failure> =>
    typeof header === "string" && KEY_PATTERN.test(header)
        ? Ok(header as ActionKey)
        : Err(createFailure(ErrorCode.BadRequest, {
            message: "Idempotency-Key must be set to 1 to 200 printable characters without spaces.",
        }));
