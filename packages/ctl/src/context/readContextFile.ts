import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { Err, Ok, type Result } from "ts-results";
import type { ContextOptions } from "./contextOptions";

const FIELDS = ["server", "token", "authorityFile"] as const;

const toInvalidSettings = (path: string, reason: string): Failure =>
    createFailure(ErrorCode.InvalidSettings, { message: `${path}: ${reason}` });

const readToml = (path: string): Result<Readonly<Record<string, unknown>>, Failure> => {
    try {
        return Ok(parse(readFileSync(path, "utf8")));
    }
    catch (error) {
        return Err(
            toInvalidSettings(path, error instanceof Error ? error.message.split("\n")[0] ?? "" : "cannot be read"),
        );
    }
};

/** Reads a TOML context file with `server`, `token` and `authorityFile`; the failure lists all problems. */
export const readContextFile = (path: string): Result<ContextOptions, Failure> =>
    readToml(path).andThen(table => {
        const unknownFields = Object.keys(table).filter(field => !FIELDS.some(known => known === field));
        const problems = [
            ...unknownFields.map(field => `${field}: unknown field`),
            ...FIELDS.filter(field => !["string", "undefined"].includes(typeof table[field]))
                .map(field => `${field}: must be a string`),
        ];
        return problems.length > 0 ? Err(toInvalidSettings(path, problems.join("; "))) : Ok(table as ContextOptions);
    });
