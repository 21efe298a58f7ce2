// Installs the npm dependencies if they are missing or older than the lock file.
import { spawnSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";

const MARKER = "node_modules/.package-lock.json";

const isCurrent = () => existsSync(MARKER) && statSync(MARKER).mtimeMs >= statSync("package-lock.json").mtimeMs;

const run = (command, args) => spawnSync(command, args, { stdio: "inherit" }).status ?? 1;

/**
 * Installs the dependencies if necessary, with `npm install` when `npm ci` fails; returns the exit status of npm, 0 if
 * they are up to date.
 */
export const install = () => {
    if (isCurrent()) {
        return 0;
    }
    const status = run("npm", ["ci", "--no-audit", "--no-fund"]);
    return status === 0 ? 0 : run("npm", ["install", "--no-audit", "--no-fund"]);
};
