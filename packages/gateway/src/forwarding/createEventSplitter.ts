import type { EventSplitter } from "./eventSplitter";

const BLANK_LINE = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)/g;
const EVENT_ID = /^id:[ ]?(.*)$/m;

/** Empty lines and comments, which belong to no event. */
const LINES_BETWEEN_EVENTS = /^(?:(?::[^\r\n]*)?(?:\r\n|\n|\r))+/;

/** Creates a splitter at the start of a stream. */
export const createEventSplitter = (): EventSplitter => {
    let pending: Buffer = Buffer.alloc(0);
    let lastEventId: string | undefined;
    let completedEvents = 0;

    /** Returns the length of the complete events at the start of the text, with the lines between events after them. */
    const completeLength = (text: string): number => {
        const eventsLength = [...text.matchAll(BLANK_LINE)].reduce((_, found) => found.index + found[0].length, 0);
        return eventsLength + (LINES_BETWEEN_EVENTS.exec(text.slice(eventsLength))?.[0].length ?? 0);
    };

    return {
        push: chunk => {
            pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
            // Latin-1 maps each byte to one character, so offsets in the text are byte offsets.
            const text = pending.toString("latin1");
            const length = completeLength(text);
            const whole = pending.subarray(0, length);
            pending = pending.subarray(length);
            completedEvents = 0;
            text.slice(0, length).split(BLANK_LINE).forEach(event => {
                completedEvents += event.length > 0 && !event.startsWith(":") ? 1 : 0;
                lastEventId = EVENT_ID.exec(event)?.[1]?.trim() ?? lastEventId;
            });
            return whole;
        },
        pendingBytes: () => pending.length,
        completedEvents: () => completedEvents,
        lastEventId: () => lastEventId,
    };
};
