// Bundles each program into one file: `build.mjs [directory] [program...]`; by default all programs, into dist/.
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";
import { join } from "node:path";

const PROGRAMS = {
    "ibis-entry": "packages/entry/src/program.ts",
    "ibis-control": "packages/control/src/program.ts",
    "ibis-admin": "packages/admin/src/program.ts",
    "ibisctl": "packages/ctl/src/program.ts",
    "ibis-standin": "packages/standins/src/program.ts",
    "ibis-runner": "packages/runner/src/program.ts",
    "ibis-bench": "packages/bench/src/program.ts",
    "ibis-capacity": "packages/capacity/src/program.ts",
    "ibis-proofs": "packages/proofs/src/program.ts",
    "ibis-soak": "platform/soak/program.ts",
    "ibis-crowd": "platform/soak/crowdProgram.ts",
    "ibis-host-cost": "platform/cost/program.ts",
    "ibis-edge": "platform/src/launch.ts",
    "ibis-edge.main": "platform/src/program.ts",
};

/** Flags with which launched programs run (`deploy/system.toml`); V8 rejects a code cache made with other flags. */
const NODE_FLAGS = ["--max-old-space-size=160"];

/** Programs that start through a launcher, which loads them from a code cache that it also writes. */
const LAUNCHERS = { "ibis-edge": "ibis-edge.main" };

const [outdir = "dist", ...names] = process.argv.slice(2);

const entryPoints = Object.fromEntries(
    Object.entries(PROGRAMS).filter(([name, path]) =>
        existsSync(path)
        && (names.length === 0 || names.includes(name) || names.some(launcher => LAUNCHERS[launcher] === name))
    ),
);

await build({
    entryPoints,
    outdir,
    bundle: true,
    platform: "node",
    // The UMD builds of some packages cannot be bundled.
    mainFields: ["module", "main"],
    target: "node20",
    format: "cjs",
    sourcemap: true,
    logLevel: "warning",
});

Object.keys(entryPoints).filter(name => name in LAUNCHERS).forEach(name => {
    const { status } = spawnSync(process.execPath, [...NODE_FLAGS, join(outdir, `${name}.js`), "--write-code-cache"]);
    if (status !== 0) {
        console.error(`The code cache of ${name} was not written.`);
        process.exitCode = 1;
    }
});
