import type { Clock } from "@ibislanding/core";

/** Where and with what events are written. */
export interface EventLogOptions {
    readonly stream: NodeJS.WritableStream;
    readonly clock: Clock;
    /** Fields of every line. */
    readonly fields: Readonly<Record<string, string>>;
}
