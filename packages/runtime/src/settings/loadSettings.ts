import { toValidationIssues, type ValidationIssue } from "@ibislanding/resources";
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { Err, Ok, type Result } from "ts-results";
import type { z } from "zod";

const readToml = (path: string): Result<Record<string, unknown>, ValidationIssue> => {
    try {
        return Ok(parse(readFileSync(path, "utf8")));
    }
    catch (error) {
        const reason = error instanceof Error ? error.message.split("\n")[0] ?? "" : "cannot be read";
        return Err({ resource: "", field: "", value: path, reason });
    }
};

/** Reads and validates a TOML settings file; returns all validation issues at once. */
export const loadSettings = <T>(path: string, schema: z.ZodType<T>): Result<T, readonly ValidationIssue[]> => {
    const input = readToml(path);
    if (input.err) {
        return Err([input.val]);
    }
    const parsed = schema.safeParse(input.val);
    return parsed.success ? Ok(parsed.data) : Err(toValidationIssues(parsed.error, input.val, ""));
};
