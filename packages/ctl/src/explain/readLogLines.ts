import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results";
import type { LogLine } from "./logLine";
import { parseLogLine } from "./parseLogLine";

const STANDARD_INPUT = "-";
const STANDARD_INPUT_DESCRIPTOR = 0;

/** Reads the logs of all hosts, oldest line first. */
export const readLogLines = (files: readonly string[]): Result<readonly LogLine[], Failure> => {
    try {
        const texts = files.map(file =>
            readFileSync(file === STANDARD_INPUT ? STANDARD_INPUT_DESCRIPTOR : file, "utf8")
        );
        const lines = texts.flatMap(text => text.split("\n")).flatMap(line => parseLogLine(line) ?? []);
        return Ok(lines.sort((left, right) => left.atMs - right.atMs));
    }
    catch (error) {
        const message = error instanceof Error ? error.message : "unreadable";
        return Err(createFailure(ErrorCode.InvalidResource, { message: `The log can't be read: ${message}` }));
    }
};
