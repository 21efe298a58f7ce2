// Installs missing dependencies, builds all programs, and starts a small complete system on loopback.
import { spawn, spawnSync } from "node:child_process";
import { install } from "./install.mjs";

const status = install() || (spawnSync("node", ["scripts/build.mjs"], { stdio: "inherit" }).status ?? 1);
if (status !== 0) {
    process.exit(status);
}
const runner = spawn(process.execPath, ["dist/ibis-runner.js", ...process.argv.slice(2)], { stdio: "inherit" });
["SIGINT", "SIGTERM"].forEach(signal => process.on(signal, () => runner.kill(signal)));
runner.on("exit", (code, signal) => process.exit(code ?? (signal === null ? 0 : 1)));
