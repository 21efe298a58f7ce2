/** Fields of an event; must not contain prompts, keys or tokens. */
type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one log line per event. */
export interface EventLog {
    readonly write: (event: string, fields: EventFields) => void;
    /** Number of lines dropped because the rate limit was exceeded or the reader stalled. */
    readonly droppedLines: () => number;
}
