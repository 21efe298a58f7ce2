import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { RecordedAnswer } from "../model/recordedAnswer";
import type { ActionOutcome } from "./actionOutcome";

/** Converts a recorded answer to the outcome of a retry; fails with `body_too_large` if the body was not stored. */
export const toReplayedOutcome = (recorded: RecordedAnswer | undefined): Result<ActionOutcome, Failure> => {
    if (recorded?.bodyBase64 === undefined) {
        const details = { ran: true, status: recorded?.status };
        return Err(createFailure(ErrorCode.BodyTooLarge, { message: "The answer was too large to be kept.", details }));
    }
    const { status, headers, bodyBase64 } = recorded;
    return Ok({ answer: { status, headers, body: Buffer.from(bodyBase64, "base64") }, replayed: true });
};
