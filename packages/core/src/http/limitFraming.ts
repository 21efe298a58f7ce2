import type { Socket } from "node:net";
import type { FramingLimit } from "./framingLimit";

/**
 * Maximum number of bytes that are received without the end of a head or a part of a body: blank lines, informational
 * responses and chunk sizes may go on without end. Larger than a head and than one read from the socket.
 */
const MAXIMUM_FRAMING_BYTES = 131_072;

/** Counts the bytes that are received on a connection and calls back once more were received than framing needs. */
export const limitFraming = (socket: Socket, onExceeded: () => void): FramingLimit => {
    let receivedBytes = 0;
    const count = (chunk: Buffer): void => {
        receivedBytes += chunk.length;
        if (receivedBytes > MAXIMUM_FRAMING_BYTES) {
            socket.off("data", count);
            onExceeded();
        }
    };
    socket.on("data", count);
    return {
        recordProgress: () => {
            receivedBytes = 0;
        },
        release: () => void socket.off("data", count),
    };
};
