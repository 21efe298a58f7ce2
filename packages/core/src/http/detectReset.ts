import type { Socket } from "node:net";

/**
 * Linux reports a reset that follows the peer's FIN with this code, and any other with `ECONNRESET`. The FIN shows that the peer has
 * sent all of the body.
 */
const RESET_AFTER_FIN = "EPIPE";

/**
 * Delays the destruction of a socket at its `end` event until the writes in progress have been tried again, which libuv does just
 * after that event if the connection was reset. Node.js destroys the socket in the event, so that their error would be lost.
 */
const delayDestruction = (socket: Socket, onReset: () => void): void => {
    const destroy = socket.destroy.bind(socket);
    let isDelayed = true;
    let isRequested = false;
    socket.destroy = (error?: NodeJS.ErrnoException) => {
        if (!isDelayed) {
            return destroy(error);
        }
        if (error === undefined) {
            isRequested = true;
            return socket;
        }
        isDelayed = false;
        if (error.code === RESET_AFTER_FIN) {
            return destroy();
        }
        onReset();
        return destroy(error);
    };
    setImmediate(() => {
        isDelayed = false;
        if (isRequested) {
            destroy();
        }
    });
};

/**
 * Runs the callback if a connection is reset before or at the end of a body that ends with it; Node.js reports such a body
 * as complete. A reset that arrives together with the last bytes is reported as an ordinary end, and only a write fails
 * then: one of the request if it is still being written, or else a subsequent one, which is harmless, as the peer has closed
 * the connection and no longer reads from it. The callback runs before callbacks of `setImmediate` that the end of the body
 * has scheduled. The socket must be one of `createHalfOpenAgent`.
 */
export const detectReset = (socket: Socket, onReset: () => void): void => {
    socket.once("error", onReset);
    socket.prependOnceListener("end", () => {
        if (!socket.writable) {
            return;
        }
        if (socket.writableLength > 0) {
            delayDestruction(socket, onReset);
            return;
        }
        socket.write("\r\n", error => {
            if (error) {
                onReset();
            }
        });
    });
};
