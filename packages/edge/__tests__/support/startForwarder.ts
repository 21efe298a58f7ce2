import { spawn } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Forwards connections to the ports that it is given; writes the ports on which it listens for them. */
const PROGRAM = `
const net = require("node:net");
const servers = JSON.parse(process.argv[1]).map(port => net.createServer(inner => {
    const outer = net.connect(port, "127.0.0.1");
    inner.on("error", () => outer.destroy());
    outer.on("error", () => inner.destroy());
    inner.pipe(outer);
    outer.pipe(inner);
}));
process.stdin.on("data", () => servers.forEach(server => server.close()));
process.stdin.on("end", () => process.exit());
Promise.all(servers.map(server =>
    new Promise(resolve => server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, resolve))
)).then(() => process.stdout.write(JSON.stringify(servers.map(server => server.address().port))));
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
    const child = spawn(process.execPath, ["-e", PROGRAM, JSON.stringify(targets)], {
        stdio: ["pipe", "pipe", "inherit"],
    });
    const [text] = await Promise.race([once(child.stdout, "data"), once(child, "exit")]) as [Buffer];
    const ports = JSON.parse(text.toString()) as number[];
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
