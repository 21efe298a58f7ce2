import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { createHeadValidator } from "./createHeadValidator";

const HEAD_EVENTS = ["continue", "information", "response", "upgrade"] as const;

/**
 * Destroys a request with the error `invalid-head`, and hides its response, if the response has a head that is not valid. Which of
 * these heads the parser of Node.js accepts depends on its release and on `--insecure-http-parser`. To be called before the
 * request is given a connection.
 */
export const rejectInvalidHeads = (outgoing: ClientRequest): void => {
    outgoing.once("socket", (socket: Socket) => {
        const validate = createHeadValidator();
        const handleData = (chunk: Buffer): void => {
            const validity = validate(chunk);
            if (validity === "pending") {
                return;
            }
            socket.off("data", handleData);
            if (validity === "invalid") {
                // The parser still reads this chunk, and may emit these events.
                HEAD_EVENTS.forEach(event => outgoing.removeAllListeners(event));
                outgoing.destroy(new Error("invalid-head"));
            }
        };
        // Before the listener of the parser, which Node.js has added.
        socket.prependListener("data", handleData);
        outgoing.once("close", () => socket.off("data", handleData));
    });
};
