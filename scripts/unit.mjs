// Runs jest. Tests that KNOWN-RED.txt lists by file and title may fail: they are printed, and any other failure counts.
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, realpathSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, relative } from "node:path";

const LISTED_TEST = /^test: (\S+\.spec\.ts), "(.*)"$/;

const listed = new Set(
    (existsSync("KNOWN-RED.txt") ? readFileSync("KNOWN-RED.txt", "utf8") : "").split("\n").flatMap(line => {
        const [, path, title] = LISTED_TEST.exec(line) ?? [];
        return path === undefined ? [] : [`${path}: ${title}`];
    }),
);

const directory = mkdtempSync(join(tmpdir(), "ibis-unit-"));
const outputFile = join(directory, "results.json");
const { status, signal } = spawnSync("npx", [
    "--no-install",
    "jest",
    "--json",
    `--outputFile=${outputFile}`,
    ...process.argv.slice(2),
], { stdio: ["inherit", "ignore", "inherit"] });
const results = existsSync(outputFile) ? JSON.parse(readFileSync(outputFile, "utf8")) : undefined;
rmSync(directory, { recursive: true });

if (results === undefined) {
    process.stderr.write(`jest wrote no results: ${signal === null ? `status ${status}` : `ended by ${signal}`}\n`);
    process.exit(status === 0 ? 1 : status ?? 1);
}
// jest names files by their real paths, which differ from the working directory's name behind a symbolic link.
const root = realpathSync(process.cwd());
const toListedPath = name => relative(root, realpathSync(name));

const failed = results.testResults.flatMap(({ name, assertionResults }) =>
    assertionResults
        .filter(result => result.status === "failed")
        .map(({ fullName }) => `${toListedPath(name)}: ${fullName}`)
);
const known = failed.filter(test => listed.has(test));
const unlisted = failed.filter(test => !listed.has(test));
const brokenSuites = results.testResults.filter(({ status: suiteStatus, assertionResults }) =>
    suiteStatus === "failed" && assertionResults.every(result => result.status !== "failed")
);
known.forEach(test => process.stdout.write(`failed, known: ${test}\n`));
unlisted.forEach(test => process.stdout.write(`failed, not listed in KNOWN-RED.txt: ${test}\n`));
brokenSuites.forEach(({ name, message }) =>
    process.stdout.write(`did not run: ${toListedPath(name)}: ${message.trim().split("\n")[0] ?? ""}\n`)
);
const isOnlyKnown = known.length > 0 && unlisted.length === 0 && brokenSuites.length === 0
    && results.numRuntimeErrorTestSuites === 0;
const isPassed = status === 0 || isOnlyKnown;
if (!isPassed && unlisted.length === 0 && brokenSuites.length === 0) {
    process.stderr.write(
        `jest failed without a failed test: ${signal === null ? `status ${status}` : `ended by ${signal}`}\n`,
    );
}
process.exit(isPassed ? 0 : 1);
