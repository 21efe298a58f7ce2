import { readFileSync } from "node:fs";
import { STANDARD_INPUT } from "./standardInput";

const STANDARD_INPUT_DESCRIPTOR = 0;

/** Reads a file, or the standard input for `-`, as UTF-8; throws when it cannot be read. */
export const readInput = (path: string): string =>
    readFileSync(path === STANDARD_INPUT ? STANDARD_INPUT_DESCRIPTOR : path, "utf8");
