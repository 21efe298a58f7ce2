import type { IncomingMessage } from "node:http";

/** Maximum size of a body that is read only so that its connection can be reused. */
const MAXIMUM_DISCARDED_BYTES = 65_536;

/** Maximum time for reading such a body; a new connection takes less. */
const MAXIMUM_DISCARD_MS = 500;

/**
 * Reads and discards a body; closes its connection if the body does not end within the limits. `onLost` is called if the
 * connection ends before the body does.
 */
export const discardBody = (body: IncomingMessage, closeConnection: () => void, onLost?: () => void): void => {
    let discardedBytes = 0;
    let isGivenUp = false;
    const giveUp = (): void => {
        isGivenUp = true;
        closeConnection();
    };
    const timer = setTimeout(giveUp, MAXIMUM_DISCARD_MS);
    body.once("close", () => {
        clearTimeout(timer);
        if (!body.complete && !isGivenUp) {
            onLost?.();
        }
    });
    body.on("data", (chunk: Buffer) => {
        discardedBytes += chunk.length;
        if (discardedBytes > MAXIMUM_DISCARDED_BYTES) {
            giveUp();
        }
    });
};
