import type { RunningSystem } from "./runningSystem";

/** Returns a JSON-serialisable description of the live processes and credentials, for external programs. */
export const describeSystem = (system: RunningSystem) => ({
    processes: system.processes().filter(process => !process.hasExited())
        .map(({ name, program, pid, region, availabilityZone, urls }) => ({
            name,
            program,
            pid,
            region,
            availabilityZone,
            urls,
        })),
    clientAccounts: system.deployment.clientAccounts,
    operatorToken: system.operatorToken,
});
