import { readdirSync, readlinkSync } from "node:fs";

const readLink = (path: string): string => {
    try {
        return readlinkSync(path);
    }
    catch {
        // Closed since the directory was read.
        return "";
    }
};

/** Reads what the open descriptors of a process refer to; empty if it has ended. */
export const readOpenDescriptors = (processId: number): readonly string[] => {
    const directory = `/proc/${processId}/fd`;
    try {
        return readdirSync(directory).map(name => readLink(`${directory}/${name}`));
    }
    catch {
        return [];
    }
};
