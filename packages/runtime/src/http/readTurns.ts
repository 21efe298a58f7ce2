import type { Socket } from "node:net";
import type { WaitingRead } from "./waitingRead";

/** Lets connections whose reads take long read one after another, one in each turn of the event loop, so that others are served between. */
export interface ReadTurns {
    /** Pauses a connection until its turn; where too many wait, the one that has cost most is closed. */
    readonly hold: (socket: Socket, waiting: WaitingRead) => void;
    readonly isHeld: (socket: Socket) => boolean;
    /** Forgets a connection. */
    readonly release: (socket: Socket) => void;
}
