import type { HostRun } from "../records/hostRun";
import type { SoakRecords } from "../records/soakRecords";
import type { Violation } from "./violation";

const BYTES_PER_MB = 1_000_000;

const checkEnd = ({ hostName, startedAtMs, end }: HostRun): readonly Violation[] =>
    end === undefined || end.isOrdered
        ? []
        : [{
            check: "process-end",
            subject: hostName,
            detail: `ended by itself after ${Math.round(end.atMs - startedAtMs)} ms, code ${
                end.code ?? "none"
            }, signal ${end.signal ?? "none"}: ${
                end.lastLines.find(line => /uncaught_exception|start_failed|stop_failed|FATAL|Error/.test(line)) ?? ""
            }`,
        }];

const checkMemory = ({ hostName, peakMemoryBytes, maximumMemoryBytes }: HostRun): readonly Violation[] =>
    peakMemoryBytes <= maximumMemoryBytes
        ? []
        : [{
            check: "memory",
            subject: hostName,
            detail: `${Math.round(peakMemoryBytes / BYTES_PER_MB)} MB resident, ${
                Math.round(maximumMemoryBytes / BYTES_PER_MB)
            } MB allowed`,
        }];

/** Checks that no process of a host ended by itself, and that none exceeded its memory. */
export const checkProcesses = ({ hostRuns }: SoakRecords): readonly Violation[] =>
    hostRuns.flatMap(run => [...checkEnd(run), ...checkMemory(run)]);
