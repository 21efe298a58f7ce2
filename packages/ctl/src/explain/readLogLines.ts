import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import { readInput } from "../input/readInput";
import type { LogLine } from "./logLine";
import { parseLogLine } from "./parseLogLine";

/** Reads log files and merges their lines, oldest first; text that is not a log line is skipped. */
export const readLogLines = (files: readonly string[]): Result<readonly LogLine[], Failure> => {
    try {
        const texts = files.map(readInput);
        const lines = texts.flatMap(text => text.split("\n")).flatMap(line => parseLogLine(line) ?? []);
        return Ok(lines.sort((left, right) => left.atMs - right.atMs));
    }
    catch (error) {
        const message = error instanceof Error ? error.message : "unreadable";
        return Err(createFailure(ErrorCode.InvalidResource, { message: `Cannot read the log: ${message}` }));
    }
};
