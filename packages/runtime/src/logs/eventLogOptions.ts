import type { Clock } from "@ibislanding/core";

/** Destination, clock and common fields of an event log. */
export interface EventLogOptions {
    readonly stream: NodeJS.WritableStream;
    readonly clock: Clock;
    /** Fields added to every line. */
    readonly fields: Readonly<Record<string, string>>;
}
