import type { WaitingRead } from "./waitingRead";

/** Connections that may wait for their turns, in a process; as many bodies in chunks of a byte are read at the same time. */
const MAXIMUM_WAITING = 4;

/** Time of reads below which a body is never given up for others. */
const MINIMUM_READ_MS = 250;

/** Returns the connection whose body has cost most, if more wait for their turns than may; undefined if each has cost little so far. */
export const findCostliest = <Connection>(
    waiting: ReadonlyMap<Connection, WaitingRead>,
): Connection | undefined =>
    waiting.size <= MAXIMUM_WAITING
        ? undefined
        : [...waiting].filter(([, { readMs }]) => readMs >= MINIMUM_READ_MS)
            .toSorted(([, one], [, other]) => other.readMs - one.readMs)[0]?.[0];
