/** Fields of an event; they must not contain prompts, keys or tokens. */
type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one line for each event. */
export interface EventLog {
    readonly write: (event: string, fields: EventFields) => void;
    /** Lines that were dropped because the budget was used up or the reader stalled. */
    readonly droppedLines: () => number;
}
