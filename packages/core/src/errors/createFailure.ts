import type { ErrorCode } from "./errorCode";
import { errorMessages } from "./errorMessages";
import type { Failure } from "./failure";

/** Creates a failure with the default message of its code unless another is given. */
export const createFailure = (code: ErrorCode, fields: Partial<Omit<Failure, "code">> = {}): Failure => ({
    code,
    message: errorMessages[code],
    ...fields,
});
