import type { ServerResponse } from "node:http";

/** Closes the connection of an unfinished response so that the client does not take the response for complete. */
export const breakOffResponse = (response: ServerResponse): void => {
    // Without a head or the last chunk, an ordinary end of the connection shows that the response is incomplete.
    if (!response.headersSent || response.chunkedEncoding) {
        response.destroy();
        return;
    }
    // A response with neither length nor chunks ends with its connection, unless that is reset.
    response.socket?.resetAndDestroy();
};
