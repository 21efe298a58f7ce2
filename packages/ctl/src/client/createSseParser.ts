import type { SseEvent } from "./sseEvent";

interface SseParser {
    /** Adds a chunk of the stream and returns the events that it completes. */
    readonly push: (text: string) => readonly SseEvent[];
}

/** Maximum length of the buffer for an incomplete event in characters; a longer buffer is discarded. */
const MAXIMUM_EVENT_LENGTH = 64_000_000;

const FIELD_PATTERN = /^([a-z]+):? ?(.*)$/;

const parseBlock = (block: string): SseEvent | undefined => {
    const fields = block.split(/\r\n|\r|\n/).flatMap(line => {
        const matched = FIELD_PATTERN.exec(line);
        return matched === null ? [] : [[matched[1] ?? "", matched[2] ?? ""] as const];
    });
    const lastOf = (name: string): string | undefined => fields.filter(([field]) => field === name).at(-1)?.[1];
    const data = fields.filter(([field]) => field === "data").map(([, value]) => value);
    return data.length === 0
        ? undefined
        : { event: lastOf("event") ?? "message", id: lastOf("id"), data: data.join("\n") };
};

/** Creates a parser of a `text/event-stream`; comments and events without data are ignored. */
export const createSseParser = (): SseParser => {
    let pending = "";
    return {
        push: text => {
            const blocks = (pending + text).split(/\r\n\r\n|\n\n|\r\r/);
            const rest = blocks.pop() ?? "";
            pending = rest.length > MAXIMUM_EVENT_LENGTH ? "" : rest;
            return blocks.map(parseBlock).filter(event => event !== undefined);
        },
    };
};
