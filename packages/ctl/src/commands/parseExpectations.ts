import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";

const EXPECTATION_PATTERN = /^([A-Za-z]+\/[a-z0-9.-]+)=(\d{1,15})$/;

/** Parses `Kind/name=version` texts into versions by resource. */
export const parseExpectations = (texts: readonly string[]): Result<ReadonlyMap<string, number>, Failure> => {
    const matches = texts.map(text => EXPECTATION_PATTERN.exec(text));
    const wrong = texts.find((_text, index) => matches[index] === null);
    return wrong === undefined
        ? Ok(new Map(matches.map(found => [found?.[1] ?? "", Number(found?.[2])])))
        : Err(createFailure(ErrorCode.BadRequest, { message: `--expect must be Kind/name=version (value: ${wrong})` }));
};
