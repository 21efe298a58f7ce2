import type { Failure } from "./failure";

/** Carries a failure through code that can only throw. */
export class FailureError extends Error {
    constructor(readonly failure: Failure) {
        super(failure.message);
        this.name = "FailureError";
    }
}
