import { setImmediate as nextTurn } from "node:timers/promises";

/** Turns until the end of a connection that was readable with its last request is read, and its close is reported. */
const TURNS = 3;

/**
 * Waits until closes of client connections are reported that arrived no later than requests which have just been read.
 *
 * Handles a host whose event loop was delayed: it reads requests whose clients left long ago, and the end of a connection is
 * read only in the turn after the data before it.
 */
export const settleClosedConnections = async (): Promise<void> => {
    for (let turn = 0; turn < TURNS; turn++) {
        await nextTurn();
    }
};
