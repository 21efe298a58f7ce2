import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { HistoryRecord } from "./historyRecord";

/** Parses the lines of a history; fails at the first line that is not a record. */
export const parseHistory = (text: string): Result<readonly HistoryRecord[], Failure> => {
    try {
        return Ok(text.split("\n").filter(line => line !== "").map(line => JSON.parse(line) as HistoryRecord));
    }
    catch {
        return Err(createFailure(ErrorCode.BadRequest, { message: "The history has a malformed line." }));
    }
};
