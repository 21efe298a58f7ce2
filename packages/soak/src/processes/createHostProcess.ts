import { type ChildProcess, spawn } from "node:child_process";
import { openSync, readFileSync } from "node:fs";
import type { HostRun } from "../records/hostRun";
import type { HostCommand } from "./hostCommand";
import type { HostProcess } from "./hostProcess";
import { readResidentBytes } from "./readResidentBytes";

/** Signals after which a process is expected to end. */
const ENDING_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set(["SIGTERM", "SIGKILL"]);

const MEMORY_INTERVAL_MS = 100;

/** Lines of the log that are kept of a process that has ended. */
const LAST_LINES = 20;

/** Creates a host process that is not started yet; signals go only to its own child process. Each run is added to the records. */
export const createHostProcess = (hostName: string, command: HostCommand, hostRuns: HostRun[]): HostProcess => {
    const log = openSync(command.logFile, "a");
    let starts = 0;
    let child: ChildProcess | undefined;
    let isEndOrdered = false;
    let ended: Promise<number | undefined> = Promise.resolve(0);

    return {
        hostName,
        starts: () => starts,
        isRunning: () => child !== undefined,
        start: () => {
            starts++;
            isEndOrdered = false;
            const started = spawn(process.execPath, command.args, {
                stdio: ["ignore", log, log],
                env: { PATH: process.env["PATH"], ...command.env },
            });
            child = started;
            const run: HostRun = {
                hostName,
                startedAtMs: performance.now(),
                peakMemoryBytes: 0,
                maximumMemoryBytes: command.maximumMemoryBytes,
                end: undefined,
            };
            hostRuns.push(run);
            const measure = setInterval(() => {
                run.peakMemoryBytes = Math.max(run.peakMemoryBytes, readResidentBytes(started.pid ?? 0));
            }, MEMORY_INTERVAL_MS);
            // Prevents orphaned host processes when the soak test exits.
            const kill = (): void => void started.kill("SIGKILL");
            process.once("exit", kill);
            ended = new Promise(resolve =>
                started.once("exit", (code, signal) => {
                    clearInterval(measure);
                    child = undefined;
                    process.off("exit", kill);
                    run.end = {
                        atMs: performance.now(),
                        code: code ?? undefined,
                        signal: signal ?? undefined,
                        isOrdered: isEndOrdered,
                        lastLines: readFileSync(command.logFile, "utf8").trimEnd().split("\n").slice(-LAST_LINES),
                    };
                    resolve(code ?? undefined);
                })
            );
        },
        signal: signal => {
            isEndOrdered ||= child !== undefined && ENDING_SIGNALS.has(signal);
            child?.kill(signal);
        },
        ended: () => ended,
    };
};
