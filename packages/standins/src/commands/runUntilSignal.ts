import type { StandInServer } from "../server/standInServer";

/** Prints where a stand-in listens as one JSON line and runs it until a signal. */
export const runUntilSignal = async (name: string, server: StandInServer): Promise<number> => {
    const signalled = new Promise(resolve => ["SIGTERM", "SIGINT"].forEach(signal => process.once(signal, resolve)));
    process.stdout.write(`${JSON.stringify({ name, pid: process.pid, urls: { standIn: server.url } })}\n`);
    await signalled;
    await server[Symbol.asyncDispose]();
    return 0;
};
