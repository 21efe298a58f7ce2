import { connect, type Socket } from "node:net";
import type { CrowdPlan } from "./crowdPlan";
import type { CrowdTraffic } from "./crowdTraffic";
import { crowdTraffics } from "./crowdTraffics";
import { openUnfinishedCalls } from "./openUnfinishedCalls";

const LOOPBACK = "127.0.0.1";

/** Sends what a connection has to send, at the pace at which the other end reads, and leaves the connection open. */
const send = async (socket: Socket, { first, piece, pieceBytes }: CrowdTraffic): Promise<void> => {
    // Called with an error if the connection is closed.
    const write = (bytes: Buffer): Promise<void> => new Promise(resolve => socket.write(bytes, () => resolve()));
    await write(first);
    for (let sentBytes = 0; sentBytes < pieceBytes && !socket.destroyed; sentBytes += piece.length) {
        await write(piece.subarray(0, pieceBytes - sentBytes));
    }
};

const openConnections = (port: number, connections: number, traffic: CrowdTraffic): Disposable => {
    const sockets = Array.from({ length: connections }, () => {
        const socket = connect({ host: LOOPBACK, port, allowHalfOpen: true });
        // The listener may close the connection at any time.
        socket.on("error", () => undefined);
        if (traffic.readsAnswers) {
            socket.resume();
        }
        void send(socket, traffic);
        return socket;
    });
    return { [Symbol.dispose]: () => sockets.forEach(socket => socket.resetAndDestroy()) };
};

/** Opens connections to a port of this machine that all send the same, and that stay open until the crowd is disposed of. */
export const openCrowd = ({ port, kind, connections, target }: CrowdPlan): Disposable =>
    kind === "unfinished-calls"
        ? openUnfinishedCalls({ port, connections, target })
        : openConnections(port, connections, crowdTraffics[kind](target));
