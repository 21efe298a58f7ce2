import { connect } from "node:net";

/** Sends a request as a client whose protocol version has no chunks, and returns how the connection ended. */
export const sendWithoutChunks = (port: number): Promise<{ readonly text: string; readonly end: string; }> =>
    new Promise(resolve => {
        let text = "";
        let end = "end";
        const socket = connect(port, "127.0.0.1");
        socket.write("POST /orders/1 HTTP/1.0\r\nHost: shop.example\r\nX-Request: r1\r\nContent-Length: 0\r\n\r\n");
        socket.on("data", bytes => {
            text += bytes.toString();
        });
        socket.on("error", error => {
            end = (error as NodeJS.ErrnoException).code ?? error.message;
        });
        socket.on("close", () => resolve({ text, end }));
    });
