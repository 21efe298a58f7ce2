import type { Socket } from "node:net";
import type { ReadTurns } from "./readTurns";

/** Creates the order of all connections of a process whose reads take long. */
export const createReadTurns = (): ReadTurns => {
    const held = new Set<Socket>();
    let isScheduled = false;

    const schedule = (): void => {
        isScheduled = true;
        setImmediate(() => {
            isScheduled = false;
            const [next] = held;
            if (next === undefined) {
                return;
            }
            held.delete(next);
            next.resume();
            if (held.size > 0) {
                schedule();
            }
        });
    };

    return {
        hold: socket => {
            held.add(socket);
            socket.pause();
            if (!isScheduled) {
                schedule();
            }
        },
        isHeld: socket => held.has(socket),
        release: socket => void held.delete(socket),
    };
};
