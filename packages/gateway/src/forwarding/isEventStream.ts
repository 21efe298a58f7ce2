import type { IncomingMessage } from "node:http";

const EVENT_STREAM_TYPE = /^\s*text\/event-stream\s*(;|$)/i;

/** Whether a stream consists of server-sent events; a stream without a content type does. */
export const isEventStream = ({ headers }: Pick<IncomingMessage, "headers">): boolean => {
    const contentType = headers["content-type"];
    return contentType === undefined || EVENT_STREAM_TYPE.test(contentType);
};
