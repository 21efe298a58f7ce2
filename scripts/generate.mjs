// Generates the protocol's TypeScript code from the .proto files; --check compares it with the committed code.
import { spawnSync } from "node:child_process";
import { cpSync, mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const COMMITTED = "packages/protocol/src/generated";

const generateInto = directory => {
    const { status, error } = spawnSync(
        "npx",
        ["--no-install", "buf", "generate", "packages/protocol/proto", "-o", directory],
        {
            stdio: "inherit",
        },
    );
    if (status !== 0) {
        process.stderr.write(`buf generate failed: ${error?.message ?? `status ${status}`}\n`);
        process.exit(status ?? 1);
    }
};

const read = directory =>
    new Map(
        readdirSync(directory, { recursive: true, encoding: "utf8" })
            .filter(name => name.endsWith(".ts"))
            .map(name => [name, readFileSync(join(directory, name), "utf8")]),
    );

const temporary = mkdtempSync(join(tmpdir(), "ibis-generate-"));
generateInto(temporary);
const fresh = join(temporary, "generated");
if (process.argv.includes("--check")) {
    const expected = read(fresh);
    const actual = read(COMMITTED);
    const stale = [...new Set([...expected.keys(), ...actual.keys()])].filter(name =>
        expected.get(name) !== actual.get(name)
    );
    stale.forEach(name => process.stderr.write(`${COMMITTED}/${name} is out of date\n`));
    rmSync(temporary, { recursive: true });
    process.exit(stale.length === 0 ? 0 : 1);
}
rmSync(COMMITTED, { recursive: true, force: true });
cpSync(fresh, COMMITTED, { recursive: true });
rmSync(temporary, { recursive: true });
