import { createServer, type Socket } from "node:net";

/** A request as an upstream received it. */
export interface RawRequest {
    readonly text: string;
    readonly requestId: string;
    readonly socket: Socket;
}

/**
 * Starts a TCP server as an upstream whose raw response bytes are written by the test. Requests are passed on once they have been
 * read; those whose ids `isEarly` selects once their heads have been read, and nothing more is read from their connections.
 */
export const startRawUpstream = async (
    onRequest: (request: RawRequest) => void,
    isEarly: (requestId: string) => boolean = () => false,
) => {
    const sockets = new Set<Socket>();
    const requests: RawRequest[] = [];
    const server = createServer(socket => {
        sockets.add(socket);
        let text = "";
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", chunk => {
            text += chunk.toString("latin1");
            const end = text.indexOf("\r\n\r\n");
            const lengthBytes = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
            const requestId = /x-request: (\S+)/i.exec(text)?.[1] ?? "";
            const isAnsweredEarly = end >= 0 && isEarly(requestId);
            if (isAnsweredEarly || end >= 0 && text.length >= end + 4 + lengthBytes) {
                const request = { text, requestId, socket };
                text = "";
                if (isAnsweredEarly) {
                    socket.pause();
                }
                requests.push(request);
                onRequest(request);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        port: typeof address === "object" && address !== null ? address.port : 0,
        requests,
        [Symbol.asyncDispose]: async () => {
            sockets.forEach(socket => socket.destroy());
            await new Promise(resolve => server.close(resolve));
        },
    };
};
