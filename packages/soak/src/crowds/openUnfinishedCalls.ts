import { connect } from "node:http2";
import type { CrowdPlan } from "./crowdPlan";

const LOOPBACK = "127.0.0.1";

const CALLS_PER_CONNECTION = 100;

/** Start of a gRPC message: whether it is compressed, and its size. */
const PREFIX_BYTES = 5;

/** How far a message stops before its end. */
const MISSING_BYTES = 1;

const createUnfinishedMessage = (sizeBytes: number): Buffer => {
    const message = Buffer.alloc(PREFIX_BYTES + sizeBytes - MISSING_BYTES);
    message.writeUInt32BE(sizeBytes, 1);
    return message;
};

/** Opens connections with many gRPC calls each, whose messages stop just short of their end. */
export const openUnfinishedCalls = (
    { port, connections, target: { requestLine, bodyBytes } }: Omit<CrowdPlan, "kind">,
): Disposable => {
    const [, path = "/"] = requestLine.split(" ");
    const message = createUnfinishedMessage(bodyBytes);
    const sessions = Array.from({ length: connections }, () => {
        const session = connect(`http://${LOOPBACK}:${port}`);
        // The listener may close the connection at any time.
        session.on("error", () => undefined);
        Array.from({ length: CALLS_PER_CONNECTION }, () => {
            const call = session.request(
                { ":method": "POST", ":path": path, "content-type": "application/grpc", "te": "trailers" },
                { endStream: false },
            );
            call.on("error", () => undefined);
            call.resume();
            call.write(message);
        });
        return session;
    });
    return { [Symbol.dispose]: () => sessions.forEach(session => session.destroy()) };
};
