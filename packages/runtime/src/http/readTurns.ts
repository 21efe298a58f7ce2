import type { Socket } from "node:net";

/** Lets connections whose reads take long read one after another, one in each turn of the event loop, so that others are served between. */
export interface ReadTurns {
    readonly hold: (socket: Socket) => void;
    readonly isHeld: (socket: Socket) => boolean;
    /** Forgets a connection. */
    readonly release: (socket: Socket) => void;
}
