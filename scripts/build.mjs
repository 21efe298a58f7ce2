// Bundles each program into one file under dist/.
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
};

const entryPoints = Object.fromEntries(Object.entries(PROGRAMS).filter(([, path]) => existsSync(path)));

await build({
    entryPoints,
    outdir: "dist",
    bundle: true,
    platform: "node",
    // The UMD builds of some packages cannot be bundled.
    mainFields: ["module", "main"],
    target: "node20",
    format: "cjs",
    sourcemap: true,
    logLevel: "warning",
});
