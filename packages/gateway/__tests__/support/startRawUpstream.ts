import { createServer, type Socket } from "node:net";

/** A request as an upstream received it. */
export interface RawRequest {
    readonly text: string;
    readonly requestId: string;
    readonly socket: Socket;
}

/** Starts a TCP server as an upstream whose raw response bytes are written by the test. */
export const startRawUpstream = async (onRequest: (request: RawRequest) => void) => {
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
            if (end >= 0 && text.length >= end + 4 + lengthBytes) {
                const request = { text, requestId: /x-request: (\S+)/i.exec(text)?.[1] ?? "", socket };
                text = "";
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
