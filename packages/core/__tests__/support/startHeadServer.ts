import { createServer, type Socket } from "node:net";
import { writeSlowly } from "./writeSlowly";

const HEAD_END = "\r\n\r\n";

/**
 * Starts a TCP server that answers each request with the current text, at once or byte by byte. It closes the connection after
 * answers that are odd; `requests` counts the requests on each connection.
 */
export const startHeadServer = async () => {
    const state = { text: "", isOdd: false, isSlow: false };
    const sockets = new Map<Socket, number>();
    const server = createServer(socket => {
        sockets.set(socket, 0);
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            if (!chunk.includes(HEAD_END)) {
                return;
            }
            const { text, isOdd, isSlow } = state;
            sockets.set(socket, (sockets.get(socket) ?? 0) + 1);
            void (async () => {
                await (isSlow ? writeSlowly(socket, text) : void socket.write(text, "latin1"));
                if (isOdd) {
                    socket.end();
                }
            })();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        state,
        port: typeof address === "object" && address !== null ? address.port : 0,
        requests: () => [...sockets.values()],
        [Symbol.asyncDispose]: async () => {
            sockets.forEach((_, socket) => socket.destroy());
            server.close();
        },
    };
};
