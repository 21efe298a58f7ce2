import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { HistoryRecord } from "./historyRecord";

/** Parses a history of newline-delimited JSON; fails at the first line that is not valid JSON. */
export const parseHistory = (text: string): Result<readonly HistoryRecord[], Failure> => {
    try {
        return Ok(text.split("\n").filter(line => line !== "").map(line => JSON.parse(line) as HistoryRecord));
    }
    catch {
        return Err(
            createFailure(ErrorCode.BadRequest, { message: "The history contains a line that is not valid JSON." }),
        );
    }
};
