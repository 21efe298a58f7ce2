import { readFileSync } from "node:fs";

const SOCKET = /^socket:\[(\d+)\]$/;

/** Fields of a line of `/proc/net/tcp`. */
const QUEUES_FIELD = 4;
const INODE_FIELD = 9;

/** Returns the bytes that the kernel has received on the sockets among the descriptors and that the process has not read yet. */
export const readUnreadBytes = (descriptors: readonly string[]): number => {
    const inodes = new Set(descriptors.flatMap(descriptor => SOCKET.exec(descriptor)?.[1] ?? []));
    return readFileSync("/proc/net/tcp", "utf8").split("\n").slice(1)
        .map(line => line.trim().split(/\s+/))
        .filter(fields => inodes.has(fields[INODE_FIELD] ?? ""))
        .reduce((sum, fields) => sum + Number.parseInt(fields[QUEUES_FIELD]?.split(":")[1] ?? "0", 16), 0);
};
