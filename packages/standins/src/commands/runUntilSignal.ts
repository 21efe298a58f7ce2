import type { StandInServer } from "../server/standInServer";

/** Prints the stand-in's name, process id and URL as one JSON line and runs it until SIGTERM or SIGINT. */
export const runUntilSignal = async (name: string, server: StandInServer): Promise<number> => {
    const signalled = new Promise(resolve => ["SIGTERM", "SIGINT"].forEach(signal => process.once(signal, resolve)));
    process.stdout.write(`${JSON.stringify({ name, pid: process.pid, urls: { standIn: server.url } })}\n`);
    await signalled;
    await server[Symbol.asyncDispose]();
    return 0;
};
