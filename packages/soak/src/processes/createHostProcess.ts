import { type ChildProcess, spawn } from "node:child_process";
import { openSync } from "node:fs";
import type { HostCommand } from "./hostCommand";
import type { HostProcess } from "./hostProcess";

/** Creates a host process that is not started yet; signals go only to its own child process. */
export const createHostProcess = (hostName: string, command: HostCommand): HostProcess => {
    const log = openSync(command.logFile, "a");
    let starts = 0;
    let child: ChildProcess | undefined;
    let ended: Promise<number | undefined> = Promise.resolve(0);

    return {
        hostName,
        starts: () => starts,
        isRunning: () => child !== undefined,
        start: () => {
            starts++;
            const started = spawn(process.execPath, command.args, {
                stdio: ["ignore", log, log],
                env: { PATH: process.env["PATH"], ...command.env },
            });
            child = started;
            // Prevents orphaned host processes when the soak test exits.
            const kill = (): void => void started.kill("SIGKILL");
            process.once("exit", kill);
            ended = new Promise(resolve =>
                started.once("exit", code => {
                    child = undefined;
                    process.off("exit", kill);
                    resolve(code ?? undefined);
                })
            );
        },
        signal: signal => void child?.kill(signal),
        ended: () => ended,
    };
};
