import type { ReceivingConnection } from "./receivingConnection";

/** Bytes that a connection holds at most for messages that are not complete. */
const heldBytes = ({ unfinishedMessages, bytesBefore, receivedBytes }: ReceivingConnection): number =>
    unfinishedMessages === 0 ? 0 : receivedBytes() - bytesBefore;

/** Selects the connections that hold most for unfinished messages, until those left hold no more than the maximum together. */
export const selectExcessive = (
    connections: Iterable<ReceivingConnection>,
    maximumBytes: number,
): readonly ReceivingConnection[] => {
    const held = [...connections].map(connection => ({ connection, bytes: heldBytes(connection) }))
        .toSorted((one, other) => other.bytes - one.bytes);
    const smallerBytes = held.map((_, index) => held.slice(index).reduce((sum, { bytes }) => sum + bytes, 0));
    return held.filter((_, index) => (smallerBytes[index] ?? 0) > maximumBytes).map(({ connection }) => connection);
};
