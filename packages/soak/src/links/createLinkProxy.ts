import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import type { LinkMode } from "./linkMode";
import type { LinkProxy } from "./linkProxy";

/** Delay of each chunk on a delayed link; longer than the latency between regions. */
const DELAY_MS = 120;

const NO_BYTES = Buffer.alloc(0);

/** A proxied connection: `near` is the socket of the connecting side, `far` the one to the target. */
interface Connection {
    readonly near: Socket;
    readonly far: Socket;
    discardsForward: boolean;
    discardsBackward: boolean;
}

/** Starts a TCP proxy on a free loopback port that forwards to `targetPort`. */
export const createLinkProxy = async (targetPort: number): Promise<LinkProxy> => {
    const connections = new Set<Connection>();
    let mode: LinkMode = "pass";

    const relay = (from: Socket, to: Socket, isDiscarding: () => boolean): void => {
        const queued: (() => void)[] = [];
        let dueAtMs = 0;
        // Delayed chunks keep their order when the mode changes.
        const forward = (action: () => void): void => {
            const nowMs = performance.now();
            dueAtMs = Math.max(dueAtMs, mode === "delay" ? nowMs + DELAY_MS : 0);
            if (queued.length === 0 && dueAtMs <= nowMs) {
                action();
                return;
            }
            queued.push(action);
            setTimeout(() => queued.shift()?.(), dueAtMs - nowMs);
        };
        from.on("data", (chunk: Buffer) =>
            forward(() => {
                if (!isDiscarding() && to.writable) {
                    to.write(chunk);
                }
            }));
        const forwardEnd = (): void =>
            forward(() => {
                if (!isDiscarding()) {
                    to.end();
                }
            });
        from.on("end", () => {
            if (!from.writable) {
                forwardEnd();
                return;
            }
            // Node.js reports a reset that arrives with the last bytes as an ordinary end; only a write fails after it.
            from.write(NO_BYTES, error => {
                if (!error) {
                    forwardEnd();
                }
            });
        });
    };

    const accept = (near: Socket): void => {
        if (mode === "refuse") {
            near.resetAndDestroy();
            return;
        }
        const far = connect({ port: targetPort, host: "127.0.0.1", allowHalfOpen: true });
        const connection: Connection = {
            near,
            far,
            discardsForward: mode === "silent",
            discardsBackward: mode === "silent" || mode === "half-open",
        };
        connections.add(connection);
        [near, far].forEach(socket => socket.setNoDelay(true));
        relay(near, far, () => connection.discardsForward);
        relay(far, near, () => connection.discardsBackward);
        // Propagates a reset, unless the link silently discards this direction.
        const forwardReset = (to: Socket, isDiscarding: () => boolean) => () => {
            if (!isDiscarding()) {
                to.resetAndDestroy();
            }
        };
        near.on("error", forwardReset(far, () => connection.discardsForward));
        far.on("error", forwardReset(near, () => connection.discardsBackward));
        near.on("close", () => {
            connections.delete(connection);
            far.destroy();
        });
    };

    const server = createServer({ allowHalfOpen: true }, accept);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as AddressInfo;

    const silence = (): void =>
        connections.forEach(connection => {
            connection.discardsForward = true;
            connection.discardsBackward = true;
        });

    const onMode: Readonly<Record<LinkMode, () => void>> = {
        pass: () => undefined,
        delay: () => undefined,
        refuse: () => undefined,
        unreachable: () => void server.close(),
        silent: silence,
        "half-open": () =>
            connections.forEach(connection => {
                connection.discardsBackward = true;
            }),
    };

    const reset = (): void =>
        [...connections].forEach(({ near, far }) => {
            near.resetAndDestroy();
            far.resetAndDestroy();
        });

    return {
        port,
        setMode: next => {
            if (mode === "unreachable" && next !== "unreachable") {
                server.listen(port, "127.0.0.1");
            }
            mode = next;
            onMode[next]();
        },
        reset,
        silence,
        [Symbol.asyncDispose]: async () => {
            server.close();
            reset();
        },
    };
};
