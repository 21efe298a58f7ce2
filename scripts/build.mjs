// Bundles each program into one file: `build.mjs [directory] [program...]`, all programs under dist/ by default.
import { build } from "esbuild";
import { existsSync } from "node:fs";

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
    "ibis-edge": "platform/src/program.ts",
};

const [outdir = "dist", ...names] = process.argv.slice(2);

const entryPoints = Object.fromEntries(
    Object.entries(PROGRAMS).filter(([name, path]) => existsSync(path) && (names.length === 0 || names.includes(name))),
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
