import { spawn } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { findFreePort } from "./findFreePort";

/** Forwards connections on the first port of each pair to the second one; writes when it listens. */
const PROGRAM = `
const net = require("node:net");
const pairs = JSON.parse(process.argv[1]);
const servers = pairs.map(([, target]) => net.createServer(inner => {
    const outer = net.connect(target, "127.0.0.1");
    inner.on("error", () => outer.destroy());
    outer.on("error", () => inner.destroy());
    inner.pipe(outer);
    outer.pipe(inner);
}));
process.stdin.on("data", () => servers.forEach(server => server.close()));
process.stdin.on("end", () => process.exit());
Promise.all(servers.map((server, index) =>
    new Promise(resolve => server.listen({ port: pairs[index][0], host: "127.0.0.1", backlog: 1 }, resolve))
)).then(() => process.stdout.write("listening"));
`;

/** More connections than the kernel queues for a listener with a backlog of 1 that does not accept. */
const QUEUE_FILLERS = 4;

const FILL_MS = 30;

/**
 * Starts a forwarder to the given ports in a process of its own, so that a host is cut off from what is behind it: by `hang`,
 * connections of before the cut and new ones hang; by `refuse`, new ones are refused and old ones live on; by `reset`, old
 * ones end too. `resume` ends a `hang`.
 */
export const startForwarder = async (targets: readonly number[]) => {
    const ports: number[] = [];
    for (const _ of targets) {
        // No other test file is given a port that `refuse` or `reset` frees, and none of its servers answers the host.
        ports.push(await findFreePort());
    }
    const child = spawn(
        process.execPath,
        ["-e", PROGRAM, JSON.stringify(targets.map((target, index) => [ports[index], target]))],
        { stdio: ["pipe", "pipe", "inherit"] },
    );
    await Promise.race([once(child.stdout, "data"), once(child, "exit")]);
    const fillers: ReturnType<typeof connect>[] = [];
    const dropFillers = (): void => fillers.splice(0).forEach(socket => socket.destroy());
    return {
        /** Port of each target. */
        ports: new Map(targets.map((target, index) => [target, ports[index] ?? 0])),
        hang: async (): Promise<void> => {
            child.kill("SIGSTOP");
            ports.forEach(from =>
                Array.from(
                    { length: QUEUE_FILLERS },
                    () => fillers.push(connect(from, "127.0.0.1").on("error", () => undefined)),
                )
            );
            await sleep(FILL_MS);
        },
        refuse: () => void child.stdin.write("close"),
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
