import type { Socket } from "node:net";

/** First bytes of a client in HTTP/2. */
const PREFACE = Buffer.from("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");

const PREFACE_TIMEOUT_MS = 5_000;

/** Hands over a connection once it has begun as HTTP/2 does; closes one that begins in another way, or not in time. */
export const awaitPreface = (socket: Socket, onPreface: (socket: Socket) => void): void => {
    let received = Buffer.alloc(0);
    const timer = setTimeout(() => socket.destroy(), PREFACE_TIMEOUT_MS);
    socket.once("close", () => clearTimeout(timer));
    const read = (): void => {
        received = Buffer.concat([received, socket.read() as Buffer | null ?? Buffer.alloc(0)]);
        if (!PREFACE.subarray(0, received.length).equals(received.subarray(0, PREFACE.length))) {
            socket.destroy();
            return;
        }
        if (received.length >= PREFACE.length) {
            socket.off("readable", read);
            clearTimeout(timer);
            socket.unshift(received);
            onPreface(socket);
        }
    };
    socket.on("readable", read);
};
