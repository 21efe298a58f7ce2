import type { Failure } from "./failure";

/** Error that wraps a failure, for code that reports errors only by throwing. */
export class FailureError extends Error {
    constructor(readonly failure: Failure) {
        super(failure.message);
        this.name = "FailureError";
    }
}
