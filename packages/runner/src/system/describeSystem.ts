import type { RunningSystem } from "./runningSystem";

/** Describes a system for programs outside of it. */
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
