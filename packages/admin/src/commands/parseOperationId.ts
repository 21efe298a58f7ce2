import { createFailure, ErrorCode, type Failure, type OperationId } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";

const OPERATION_ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;

/** Validates an operation id given by an operator. */
export const parseOperationId = (text: string): Result<OperationId, Failure> =>
    OPERATION_ID_PATTERN.test(text)
        ? Ok(text as OperationId)
        : Err(createFailure(ErrorCode.BadRequest, {
            message: "An operation id has 1 to 128 letters, digits, dots, underscores or dashes.",
            details: { field: "Operation-Id" },
        }));
