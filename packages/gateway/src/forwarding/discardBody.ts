import type { IncomingMessage } from "node:http";

/** Maximum size of a body that is read only so that its connection can be reused. */
const MAXIMUM_DISCARDED_BYTES = 65_536;

/** Maximum time for reading such a body; a new connection takes less. */
const MAXIMUM_DISCARD_MS = 500;

/** Reads and discards a body; closes its connection if the body does not end within the limits. */
export const discardBody = (body: IncomingMessage, closeConnection: () => void): void => {
    let discardedBytes = 0;
    const timer = setTimeout(closeConnection, MAXIMUM_DISCARD_MS);
    body.once("close", () => clearTimeout(timer));
    body.on("data", (chunk: Buffer) => {
        discardedBytes += chunk.length;
        if (discardedBytes > MAXIMUM_DISCARDED_BYTES) {
            closeConnection();
        }
    });
};
