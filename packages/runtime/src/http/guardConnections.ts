import type { IncomingMessage, RequestListener, Server, ServerResponse } from "node:http";
import type { Server as TlsServer } from "node:https";
import type { Socket } from "node:net";
import type { ConnectionCloseCause } from "./connectionCloseCause";
import type { ConnectionLimits } from "./connectionLimits";
import type { ConnectionState } from "./connectionState";
import { createDiscardAllowance } from "./createDiscardAllowance";
import { createReadTurns } from "./createReadTurns";
import { findReplaceable } from "./findReplaceable";
import { observeReads } from "./observeReads";

const CHECK_INTERVAL_MS = 500;

/** Bytes of one request, or before one, from which on a connection is watched; ordinary requests have fewer. */
const UNWATCHED_BYTES = 65_536;

/** Time after which a connection is closed whose client reads nothing of the answers that wait for it. */
const UNREAD_ANSWER_MS = 15_000;

/** Time for one read of a body from which on the connection takes turns with others: many chunks of a few bytes, each a call. */
const COSTLY_READ_MS = 2;

const nowMs = (): number => performance.now();

/** Shared by all listeners of the process. */
const mayDiscard = createDiscardAllowance(nowMs);
const turns = createReadTurns();

const noop = (): void => undefined;

/** Whether the body of a request may be large, or consist of many small chunks. */
const mayBeCostly = ({ headers }: IncomingMessage): boolean =>
    headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > UNWATCHED_BYTES;

/** Ends responses that waited for earlier ones of a closed connection: Node.js reports the close only to the first one. */
const endQueued = ({ pending }: ConnectionState): void =>
    [...pending].filter(({ socket }) => socket === null).forEach(response => {
        response.destroy();
        response.emit("close");
    });

/**
 * Passes the requests of a server to a handler, and bounds what its connections make the process hold: how many there are, what they
 * send that is no part of a request, how many requests wait on one, and for how long answers stay unread. Limits on heads and bodies are
 * those of the server and its handler.
 */
export const guardConnections = (
    server: Server | TlsServer,
    handle: RequestListener,
    { maximumConnections, maximumUnusedBytes, maximumPendingRequests }: ConnectionLimits,
    onClosed: (cause: ConnectionCloseCause) => void = noop,
): void => {
    const connections = new Map<Socket, ConnectionState>();

    const close = (socket: Socket, cause: ConnectionCloseCause): void => {
        connections.delete(socket);
        // Frees what has arrived and is not read yet, too.
        socket.destroy();
        onClosed(cause);
    };

    const receive = (socket: Socket, state: ConnectionState, bytes: number): void => {
        const { request, response } = state;
        const isUsed = request !== undefined && !request.complete && response?.writableEnded === false;
        if (isUsed) {
            state.lastActiveMs = nowMs();
            return;
        }
        state.unusedBytes += bytes;
        if (state.unusedBytes <= maximumUnusedBytes) {
            return;
        }
        const isRefusedBody = request?.complete === false;
        if (!isRefusedBody || !mayDiscard(bytes)) {
            close(socket, "unused-bytes");
        }
    };

    const accept = (socket: Socket): void => {
        const state: ConnectionState = {
            request: undefined,
            response: undefined,
            pending: new Set(),
            unusedBytes: 0,
            lastActiveMs: nowMs(),
            isWatched: false,
            bytesBeforeRequest: 0,
            costlyReadMs: 0,
            writtenBytes: 0,
            lastWrittenMs: nowMs(),
        };
        if (connections.size >= maximumConnections) {
            const replaceable = findReplaceable(connections);
            if (replaceable === undefined) {
                socket.destroy();
                onClosed("too-many");
                return;
            }
            close(replaceable, "replaced");
        }
        connections.set(socket, state);
        observeReads(socket, () => inspectReads(socket, state));
        socket.once("close", () => {
            connections.delete(socket);
            turns.release(socket);
            endQueued(state);
        });
    };

    /** Counts the bytes of a connection before the parser sees them, which makes each read more expensive. */
    const watch = (socket: Socket, state: ConnectionState): void => {
        if (state.isWatched) {
            return;
        }
        state.isWatched = true;
        let readAtMs = nowMs();
        socket.prependListener("data", (bytes: Buffer) => {
            readAtMs = nowMs();
            receive(socket, state, bytes.length);
        });
        // Called when the parser is through with the bytes.
        socket.on("data", () => {
            const readMs = nowMs() - readAtMs;
            if (state.request?.complete === false && !socket.destroyed && readMs >= COSTLY_READ_MS) {
                state.costlyReadMs += readMs;
                turns.hold(socket, { readMs: state.costlyReadMs, close: () => close(socket, "costly-body") });
            }
        });
        // The reader of a body resumes its connection whenever it has room.
        socket.on("resume", () => {
            if (turns.isHeld(socket)) {
                socket.pause();
            }
        });
    };

    /** Begins to watch a connection that has sent more than ordinary requests have. */
    const inspectReads = (socket: Socket, state: ConnectionState): void => {
        const receivedBytes = socket.bytesRead - state.bytesBeforeRequest;
        if (!state.isWatched && !socket.destroyed && receivedBytes > UNWATCHED_BYTES) {
            watch(socket, state);
            receive(socket, state, receivedBytes);
        }
    };

    const admitRequest = (request: IncomingMessage, response: ServerResponse): void => {
        const state = connections.get(request.socket);
        // Requests that arrived in one read with the one that closed the connection.
        if (state === undefined) {
            return;
        }
        if (state.pending.size >= maximumPendingRequests) {
            close(request.socket, "pending-requests");
            return;
        }
        state.request = request;
        state.response = response;
        state.unusedBytes = 0;
        state.costlyReadMs = 0;
        state.bytesBeforeRequest = request.socket.bytesRead;
        if (mayBeCostly(request)) {
            watch(request.socket, state);
        }
        state.lastActiveMs = nowMs();
        state.pending.add(response);
        response.once("close", () => {
            state.pending.delete(response);
            state.lastActiveMs = nowMs();
        });
        handle(request, response);
    };

    const check = (): void => {
        const atMs = nowMs();
        [...connections].forEach(([socket, state]) => {
            inspectReads(socket, state);
            const writtenBytes = socket.bytesWritten - socket.writableLength;
            if (socket.writableLength === 0 || writtenBytes !== state.writtenBytes) {
                state.writtenBytes = writtenBytes;
                state.lastWrittenMs = atMs;
            }
            else if (atMs - state.lastWrittenMs > UNREAD_ANSWER_MS) {
                close(socket, "unread-answer");
            }
        });
    };

    server.on("setSecureContext" in server ? "secureConnection" : "connection", accept);
    server.on("request", admitRequest);
    const timer = setInterval(check, CHECK_INTERVAL_MS).unref();
    server.once("close", () => clearInterval(timer));
};
