// Prints KNOWN-RED.txt, runs all checks of the project in order, and prints each result; exits with 1 when a check fails.
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { install } from "./install.mjs";

const CHECKS = [
    ["format", "check:format"],
    ["lint", "check:lint"],
    ["types", "check:types"],
    ["imports", "check:imports"],
    ["exports", "check:exports"],
    ["generated code", "check:generated"],
    ["build", "build"],
    ["unit and process tests", "unit"],
    ["invalid answers behind a lenient parser", "lenient"],
    // Apart from the other tests: they measure the memory of processes under load.
    ["crowds of clients", "crowds"],
];

const runCheck = ([title, script]) => {
    process.stdout.write(`\n== ${title}\n`);
    const { status, signal, error } = spawnSync("npm", ["run", "--silent", script], { stdio: "inherit" });
    if (status === null) {
        process.stderr.write(`${title}: npm run ${script} ${error?.message ?? `was ended by ${signal}`}\n`);
    }
    return { title, passed: status === 0 };
};

const printKnownFailures = () => {
    const text = existsSync("KNOWN-RED.txt") ? readFileSync("KNOWN-RED.txt", "utf8").trim() : "";
    process.stdout.write(text === "" ? "\nKNOWN-RED: none\n" : `\nKNOWN-RED:\n${text}\n`);
};

const installStatus = install();
if (installStatus !== 0) {
    process.exit(installStatus);
}
// Before the checks, so that a log that is cut in the middle still ends with what failed.
printKnownFailures();
const results = CHECKS.map(runCheck);
const failed = results.filter(result => !result.passed);
process.stdout.write(`\n${results.map(({ title, passed }) => `${passed ? "ok  " : "FAIL"} ${title}`).join("\n")}\n`);
if (failed.length > 0) {
    process.stdout.write(`failed: ${failed.map(({ title }) => title).join(", ")}\n`);
}
process.stdout.write(`${results.length - failed.length} passed, ${failed.length} failed\n`);
process.exit(failed.length === 0 ? 0 : 1);
