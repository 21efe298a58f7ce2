import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Accepts connections on the first port of each pair and forwards them to the second one. */
const PROGRAM = `
const net = require("node:net");
const pairs = JSON.parse(process.argv[1]);
let servers = [];
const open = () => Promise.all(pairs.map(([from, to]) => new Promise(resolve => {
    const server = net.createServer(inner => {
        const outer = net.connect(to, "127.0.0.1");
        inner.on("error", () => outer.destroy());
        outer.on("error", () => inner.destroy());
        inner.pipe(outer);
        outer.pipe(inner);
    });
    servers.push(server);
    server.listen({ port: from, host: "127.0.0.1", backlog: 1 }, resolve);
})));
process.stdin.on("data", () => { servers.forEach(server => server.close()); servers = []; });
open().then(() => process.stdout.write("ready"));
`;

/** More connections than the kernel queues for a listener with a backlog of 1 that does not accept. */
const QUEUE_FILLERS = 4;

const FILL_MS = 30;

/**
 * Starts a forwarder for pairs of ports in a process of its own, so that a host is cut off from what is behind it: by `hang`,
 * connections of before the cut and new ones hang; by `refuse`, new ones are refused and old ones live on; by `reset`, old
 * ones end too. `resume` ends a `hang`.
 */
export const startForwarder = async (pairs: readonly (readonly [from: number, to: number])[]) => {
    const child: ChildProcess = spawn(process.execPath, ["-e", PROGRAM, JSON.stringify(pairs)], {
        stdio: ["pipe", "pipe", "inherit"],
    });
    await once(child.stdout ?? child, "data");
    const fillers: ReturnType<typeof connect>[] = [];
    const dropFillers = (): void => fillers.splice(0).forEach(socket => socket.destroy());
    return {
        hang: async (): Promise<void> => {
            child.kill("SIGSTOP");
            pairs.forEach(([from]) =>
                Array.from(
                    { length: QUEUE_FILLERS },
                    () => fillers.push(connect(from, "127.0.0.1").on("error", () => undefined)),
                )
            );
            await sleep(FILL_MS);
        },
        refuse: () => void child.stdin?.write("close"),
        reset: () => void child.kill("SIGKILL"),
        resume: (): void => {
            dropFillers();
            child.kill("SIGCONT");
        },
        [Symbol.asyncDispose]: async (): Promise<void> => {
            dropFillers();
            child.kill("SIGKILL");
        },
    };
};
