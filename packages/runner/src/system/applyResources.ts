import { spawn } from "node:child_process";
import { join } from "node:path";
import type { RunningSystem } from "./runningSystem";

/** Applies the deployment's resources with `ibisctl` and waits until they are in force; returns its exit code. */
export const applyResources = async (system: RunningSystem, distDirectory: string): Promise<number> => {
    const admin = system.ofProgram("ibis-admin")[0];
    const args = ["apply", "-f", system.deployment.resourcesDirectory, "--wait"];
    const child = spawn(process.execPath, [join(distDirectory, "ibisctl.js"), ...args], {
        env: { ...process.env, IBIS_SERVER: admin?.urls["admin"] ?? "", IBIS_TOKEN: system.operatorToken },
        stdio: ["ignore", "ignore", "inherit"],
    });
    return new Promise(resolve => child.on("exit", code => resolve(code ?? 1)));
};
