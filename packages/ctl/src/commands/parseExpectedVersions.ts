import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";

const EXPECTED_VERSION_PATTERN = /^([A-Za-z]+\/[a-z0-9.-]+)=(\d{1,15})$/;

/** Parses `Kind/name=version` arguments into expected versions by `Kind/name`. */
export const parseExpectedVersions = (texts: readonly string[]): Result<ReadonlyMap<string, number>, Failure> => {
    const matches = texts.map(text => EXPECTED_VERSION_PATTERN.exec(text));
    const invalidText = texts.find((_text, index) => matches[index] === null);
    return invalidText === undefined
        ? Ok(new Map(matches.map(found => [found?.[1] ?? "", Number(found?.[2])])))
        : Err(
            createFailure(ErrorCode.BadRequest, {
                message: `--expect must be Kind/name=version (value: ${invalidText})`,
            }),
        );
};
