import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import type { LinkMode } from "./linkMode";
import type { LinkProxy } from "./linkProxy";

/** Delay of each chunk on a delayed link: longer than between regions. */
const DELAY_MS = 120;

interface Connection {
    readonly near: Socket;
    readonly far: Socket;
    swallowsForward: boolean;
    swallowsBackward: boolean;
}

/** Starts a proxy that forwards to a port on loopback. */
export const createLinkProxy = async (targetPort: number): Promise<LinkProxy> => {
    const connections = new Set<Connection>();
    let mode: LinkMode = "pass";

    const relay = (from: Socket, to: Socket, swallows: () => boolean): void => {
        const queued: (() => void)[] = [];
        let dueAtMs = 0;
        // What was delayed must not be overtaken when the link's mode changes.
        const pass = (action: () => void): void => {
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
            pass(() => {
                if (!swallows() && to.writable) {
                    to.write(chunk);
                }
            }));
        from.on("end", () =>
            pass(() => {
                if (!swallows()) {
                    to.end();
                }
            }));
    };

    const accept = (near: Socket): void => {
        if (mode === "refuse") {
            near.resetAndDestroy();
            return;
        }
        const far = connect(targetPort, "127.0.0.1");
        const connection: Connection = {
            near,
            far,
            swallowsForward: mode === "silent",
            swallowsBackward: mode === "silent" || mode === "half-open",
        };
        connections.add(connection);
        [near, far].forEach(socket => socket.setNoDelay(true));
        relay(near, far, () => connection.swallowsForward);
        relay(far, near, () => connection.swallowsBackward);
        // A reset is passed on as a reset, unless the link has forgotten the connection.
        const passReset = (to: Socket, swallows: () => boolean) => () => {
            if (!swallows()) {
                to.resetAndDestroy();
            }
        };
        near.on("error", passReset(far, () => connection.swallowsForward));
        far.on("error", passReset(near, () => connection.swallowsBackward));
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

    const silence = (): void =>
        connections.forEach(connection => {
            connection.swallowsForward = true;
            connection.swallowsBackward = true;
        });

    const onMode: Readonly<Record<LinkMode, () => void>> = {
        pass: () => undefined,
        delay: () => undefined,
        refuse: () => undefined,
        silent: silence,
        "half-open": () =>
            connections.forEach(connection => {
                connection.swallowsBackward = true;
            }),
    };

    const reset = (): void =>
        [...connections].forEach(({ near, far }) => {
            near.resetAndDestroy();
            far.resetAndDestroy();
        });

    return {
        port: (server.address() as AddressInfo).port,
        setMode: next => {
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
