import type { ErrorCode } from "./errorCode";
import { errorMessages } from "./errorMessages";
import type { Failure } from "./failure";

/** Creates a failure; `message` defaults to the message of the code. */
export const createFailure = (code: ErrorCode, fields: Partial<Omit<Failure, "code">> = {}): Failure => ({
    code,
    message: errorMessages[code],
    ...fields,
});
