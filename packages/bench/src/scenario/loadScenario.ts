import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { Err, Ok, type Result } from "ts-results";
import type { Scenario } from "./scenario";
import { scenarioSchema } from "./scenarioSchema";

const describeError = (error: unknown): string => (error instanceof Error ? error.message : String(error));

/** Reads and validates a TOML scenario file; fails with `InvalidSettings` when it is unreadable or invalid. */
export const loadScenario = (path: string): Result<Scenario, Failure> => {
    try {
        const parsed = scenarioSchema.safeParse(parse(readFileSync(path, "utf8")));
        return parsed.success
            ? Ok(parsed.data)
            : Err(createFailure(ErrorCode.InvalidSettings, { message: `${path}: ${parsed.error.message}` }));
    }
    catch (error) {
        return Err(createFailure(ErrorCode.InvalidSettings, { message: `${path}: ${describeError(error)}` }));
    }
};
