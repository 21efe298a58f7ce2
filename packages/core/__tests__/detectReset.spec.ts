// Guards against a reset that is taken for an ordinary end, and an end for a reset, while more is being written than the sockets buffer.
import { connect, createServer, type Socket } from "node:net";
import { detectReset } from "../src";

const ATTEMPTS = 20;

/** More than the sockets of both sides buffer together. */
const UPLOAD = Buffer.alloc(12_000_000);

const endings: Readonly<Record<string, (socket: Socket) => void>> = {
    "a reset": socket => {
        socket.write("part");
        socket.resetAndDestroy();
    },
    "a FIN": socket => void socket.end("part"),
    "a FIN before a reset": socket => void socket.end("part", () => socket.resetAndDestroy()),
};

/** Starts a server that reads the first bytes on each connection and then ends it. */
const startServer = async (end: (socket: Socket) => void) => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.pause();
            end(socket);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        port: typeof address === "object" && address !== null ? address.port : 0,
        [Symbol.asyncDispose]: async () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
};

/** Writes to a server that ends the connection early; returns whether a reset was detected, undefined without an end. */
const sendUpload = (port: number): Promise<boolean | undefined> =>
    new Promise(resolve => {
        const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
        let isReset = false;
        socket.on("error", () => undefined);
        detectReset(socket, () => {
            isReset = true;
        });
        socket.on("end", () => {
            // As Node.js does at the end of a response.
            socket.destroy();
            setImmediate(() => resolve(isReset));
        });
        socket.on("close", () => resolve(undefined));
        socket.resume();
        socket.write(UPLOAD);
    });

test.each([["a reset", true], ["a FIN", false], ["a FIN before a reset", false]])(
    "%s that is reported as the end of a connection counts as a reset: %s",
    async (ending, isReset) => {
        await using server = await startServer(socket => endings[ending]?.(socket));
        const results: (boolean | undefined)[] = [];
        for (const _ of Array.from({ length: ATTEMPTS })) {
            results.push(await sendUpload(server.port));
        }
        const ends = results.filter(result => result !== undefined);
        expect(ends.length).toBeGreaterThan(0);
        expect(ends).toEqual(ends.map(() => isReset));
    },
);
