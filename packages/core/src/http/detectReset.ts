import type { Socket } from "node:net";

/**
 * Runs the callback if a connection that ended was in fact reset. Node.js reports a reset that arrives together with
 * the last bytes as an ordinary end, and only a subsequent write fails. The write is harmless, as the peer has closed
 * the connection and no longer reads from it. The socket must be one of `createHalfOpenAgent`.
 */
export const detectReset = (socket: Socket, onReset: () => void): void =>
    void socket.prependOnceListener("end", () => {
        if (!socket.writable) {
            return;
        }
        socket.write("\r\n", error => {
            if (error) {
                onReset();
            }
        });
    });
