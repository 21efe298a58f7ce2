import type { Socket } from "node:net";

/**
 * Runs the callback if a connection is reset before or at the end of a body that ends with it; Node.js reports such a body
 * as complete. A reset that arrives together with the last bytes is reported as an ordinary end, and only a subsequent
 * write fails. The write is harmless, as the peer has closed the connection and no longer reads from it. The socket must
 * be one of `createHalfOpenAgent`.
 */
export const detectReset = (socket: Socket, onReset: () => void): void => {
    socket.once("error", onReset);
    socket.prependOnceListener("end", () => {
        if (!socket.writable) {
            return;
        }
        socket.write("\r\n", error => {
            if (error) {
                onReset();
            }
        });
    });
};
