import { readFileSync } from "node:fs";

const BYTES_PER_KB = 1_024;

/** Reads the resident memory of a process; 0 if it has ended, or on systems without `/proc`. */
export const readResidentBytes = (processId: number): number => {
    try {
        const [, sizeKb = "0"] = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${processId}/status`, "utf8")) ?? [];
        return Number(sizeKb) * BYTES_PER_KB;
    }
    catch {
        return 0;
    }
};
