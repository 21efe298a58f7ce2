import type { EventSplitter } from "./eventSplitter";

const BLANK_LINE = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)/g;

/** The same in text without carriage returns, for which a search for this string takes less time than the expression. */
const BLANK_LINE_OF_LINE_FEEDS = "\n\n";

const EVENT_ID = /^id:[ ]?(.*)$/m;

/** The head of another answer in place of an event. */
const ANSWER_HEAD = /(?<=^|\n\n|\r\n\r\n|\r\r)HTTP\/1\.\d \d{3}/;

/** Empty lines and comments, which belong to no event. */
const LINES_BETWEEN_EVENTS = /^(?:(?::[^\r\n]*)?(?:\r\n|\n|\r))+/;

const lengthUpToLast = (text: string, part: string): number => {
    const index = text.lastIndexOf(part);
    return index === -1 ? 0 : index + part.length;
};

/** Whether an event comes after another one of its stream. Ids that are numbers increase; others can only be found to be the same. */
const isAfter = (id: string, earlierId: string): boolean => {
    const difference = Number(id) - Number(earlierId);
    return Number.isNaN(difference) ? id !== earlierId : difference > 0;
};

/**
 * Creates a splitter at the start of a stream, or of a run that is to go on after the event with the given id.
 *
 * Handles upstreams that start over instead of going on, and those that write another answer into a stream without a length.
 */
export const createEventSplitter = (afterEventId?: string): EventSplitter => {
    let pending: Buffer = Buffer.alloc(0);
    let lastEventId: string | undefined;
    let completedEvents = 0;
    let defect: string | undefined;

    /** Returns the length of the text before whatever does not belong to the stream. */
    const soundLength = (text: string): number => {
        const firstId = lastEventId === undefined && afterEventId !== undefined
            ? EVENT_ID.exec(text)?.[1]?.trim()
            : undefined;
        if (firstId !== undefined && afterEventId !== undefined && !isAfter(firstId, afterEventId)) {
            defect = "stream-starts-over";
            return 0;
        }
        const headIndex = text.includes("HTTP/1.") ? text.search(ANSWER_HEAD) : -1;
        if (headIndex === -1) {
            return text.length;
        }
        defect = "answer-inside-stream";
        return headIndex;
    };

    /** Returns the length of the complete events at the start of the text, with the lines between events after them. */
    const completeLength = (text: string, hasCarriageReturns: boolean): number => {
        const eventsLength = hasCarriageReturns
            ? [...text.matchAll(BLANK_LINE)].reduce((_, found) => found.index + found[0].length, 0)
            : lengthUpToLast(text, BLANK_LINE_OF_LINE_FEEDS);
        return eventsLength + (LINES_BETWEEN_EVENTS.exec(text.slice(eventsLength))?.[0].length ?? 0);
    };

    return {
        push: chunk => {
            pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
            // Latin-1 maps each byte to one character, so offsets in the text are byte offsets.
            const text = pending.toString("latin1");
            const hasCarriageReturns = text.includes("\r");
            const length = soundLength(text.slice(0, completeLength(text, hasCarriageReturns)));
            const whole = pending.subarray(0, length);
            pending = pending.subarray(length);
            completedEvents = 0;
            text.slice(0, length).split(hasCarriageReturns ? BLANK_LINE : BLANK_LINE_OF_LINE_FEEDS).forEach(event => {
                completedEvents += event.length > 0 && !event.startsWith(":") ? 1 : 0;
                lastEventId = EVENT_ID.exec(event)?.[1]?.trim() ?? lastEventId;
            });
            return whole;
        },
        pendingBytes: () => pending.length,
        completedEvents: () => completedEvents,
        lastEventId: () => lastEventId,
        defect: () => defect,
    };
};
