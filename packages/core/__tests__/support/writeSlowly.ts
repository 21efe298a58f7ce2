import type { Socket } from "node:net";
import { setImmediate } from "node:timers/promises";

/** Writes a text byte by byte, each in a turn of its own of the event loop, until the connection is closed. */
export const writeSlowly = async (socket: Socket, text: string): Promise<void> => {
    socket.setNoDelay(true);
    for (const byte of text) {
        if (socket.destroyed) {
            return;
        }
        socket.write(byte, "latin1");
        await setImmediate();
    }
};
