import type { Socket } from "node:net";

/** The method by which Node.js extends the idle timeout of a connection. */
interface TimedSocket {
    _unrefTimer?: () => void;
}

/**
 * Calls back after each read of a connection whose bytes go to the parser of Node.js without passing JavaScript: such reads emit no event
 * and only extend the idle timeout. Does nothing if Node.js has no such method.
 */
export const observeReads = (socket: Socket, onRead: () => void): void => {
    const timed = socket as unknown as TimedSocket;
    const extendTimeout = timed._unrefTimer;
    if (extendTimeout === undefined) {
        return;
    }
    timed._unrefTimer = () => {
        extendTimeout.call(socket);
        onRead();
    };
};
