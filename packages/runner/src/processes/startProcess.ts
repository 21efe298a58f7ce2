import { spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { join } from "node:path";
import { createInterface } from "node:readline";
import type { ManagedProcess } from "./managedProcess";
import type { ProcessPlan } from "./processPlan";

const START_TIMEOUT_MS = 30_000;

interface Announcement {
    readonly pid: number;
    readonly urls: Readonly<Record<string, string>>;
}

/**
 * Starts a process and waits for the JSON line with its URLs on standard output; standard error goes to a log file in
 * `logDirectory`. Rejects when the process exits or prints no line within the start timeout.
 */
export const startProcess = async (
    plan: ProcessPlan,
    distDirectory: string,
    logDirectory: string,
): Promise<ManagedProcess> => {
    const child = spawn(process.execPath, [join(distDirectory, `${plan.program}.js`), ...plan.args], {
        stdio: ["ignore", "pipe", "pipe"],
        // In a separate process group, so that Ctrl-C signals only the runner, which stops all processes in order.
        detached: true,
    });
    const log = createWriteStream(join(logDirectory, `${plan.name}.log`));
    child.stderr.pipe(log);
    let hasExited = false;
    const exited = new Promise<number | undefined>(resolve =>
        child.on("exit", code => {
            hasExited = true;
            resolve(code ?? undefined);
        })
    );
    const lines = createInterface({ input: child.stdout });
    const announcement = await new Promise<Announcement>((resolve, reject) => {
        const timer = setTimeout(
            () => reject(new Error(`${plan.name} did not print its URLs in time`)),
            START_TIMEOUT_MS,
        );
        lines.once("line", line => {
            clearTimeout(timer);
            resolve(JSON.parse(line) as Announcement);
        });
        void exited.then(code => {
            clearTimeout(timer);
            reject(new Error(`${plan.name} exited during startup with ${code}; see ${logDirectory}/${plan.name}.log`));
        });
    });
    return {
        name: plan.name,
        program: plan.program,
        pid: announcement.pid,
        region: plan.region,
        availabilityZone: plan.availabilityZone,
        urls: announcement.urls,
        signal: signal => void child.kill(signal),
        exited,
        hasExited: () => hasExited,
    };
};
