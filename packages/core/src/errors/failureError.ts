import type { Failure } from "./failure";

/** Error that carries a failure through code that can only throw. */
export class FailureError extends Error {
    constructor(readonly failure: Failure) {
        super(failure.message);
        this.name = "FailureError";
    }
}
