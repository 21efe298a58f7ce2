// Checks that each source file has at most one export, and that package indexes only re-export.
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";

const GENERATED = "packages/protocol/src/generated/";

const listed = spawnSync("git", [
    "ls-files",
    "-co",
    "--exclude-standard",
    "packages/*/src/*.ts",
    "platform/src/*.ts",
    "platform/soak/*.ts",
    "platform/cost/*.ts",
], {
    encoding: "utf8",
});
const files = listed.stdout.split("\n").filter(path => path !== "" && existsSync(path) && !path.startsWith(GENERATED));

const countExports = text => text.split("\n").filter(line => line.startsWith("export ")).length;

const isIndex = path => /^(packages\/[^/]+|platform)\/src\/index\.ts$/.test(path);

const problems = files.flatMap(path => {
    const text = readFileSync(path, "utf8");
    if (isIndex(path)) {
        const own = text.split("\n").filter(line =>
            /^export (const|type [A-Za-z]+ =|interface|enum|class|function)/.test(line)
        );
        return own.length === 0 ? [] : [`${path}: an index only re-exports`];
    }
    const count = countExports(text);
    return count <= 1 ? [] : [`${path}: ${count} exports`];
});

problems.forEach(problem => process.stderr.write(`${problem}\n`));
process.stdout.write(`${files.length} files checked, ${problems.length} problems\n`);
process.exit(problems.length === 0 ? 0 : 1);
