import type { Socket } from "node:net";
import { findCostliest } from "./findCostliest";
import type { ReadTurns } from "./readTurns";
import type { WaitingRead } from "./waitingRead";

/** Creates the order of all connections of a process whose reads take long. */
export const createReadTurns = (): ReadTurns => {
    const held = new Map<Socket, WaitingRead>();
    let isScheduled = false;

    const schedule = (): void => {
        isScheduled = true;
        setImmediate(() => {
            isScheduled = false;
            const [next] = held.keys();
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
        hold: (socket, waiting) => {
            held.set(socket, waiting);
            socket.pause();
            const costliest = findCostliest(held);
            if (costliest !== undefined) {
                held.get(costliest)?.close();
                held.delete(costliest);
            }
            if (!isScheduled) {
                schedule();
            }
        },
        isHeld: socket => held.has(socket),
        release: socket => void held.delete(socket),
    };
};
