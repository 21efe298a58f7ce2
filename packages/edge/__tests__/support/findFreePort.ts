import { createServer, type Server } from "node:net";

/**
 * Below the ephemeral port range, from which another process could take the port before the host listens on it, and below
 * the ports of the fault soak.
 */
const FIRST_PORT = 4_000;
const END_PORT = 12_000;

/** Ports that one test file claims by listening on the first of them. */
const PORTS_PER_FILE = 100;

const listenOn = (port: number): Promise<Server | undefined> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });

const isFree = async (port: number): Promise<boolean> => {
    const server = await listenOn(port);
    await new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()));
    return server !== undefined;
};

/** Claims a range of ports until the process ends; two files that drew ports from one range took each other's. */
const claimRange = async (): Promise<number> => {
    for (let firstPort = FIRST_PORT; firstPort < END_PORT; firstPort += PORTS_PER_FILE) {
        const claim = await listenOn(firstPort);
        if (claim !== undefined) {
            claim.unref();
            return firstPort;
        }
    }
    throw new Error("All ranges of ports are claimed by other test files.");
};

let firstPort: Promise<number> | undefined;
let calls = 0;

/** Finds a loopback port on which nothing listens, which no other test file is given meanwhile. */
export const findFreePort = async (): Promise<number> => {
    firstPort ??= claimRange();
    for (;;) {
        const port = await firstPort + 1 + calls++ % (PORTS_PER_FILE - 1);
        if (await isFree(port)) {
            return port;
        }
    }
};
