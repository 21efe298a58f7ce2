import {
    detectReset,
    findBodyDelimiter,
    type FramingLimit,
    guardEvent,
    isFinalStatus,
    limitFraming,
    rejectInvalidHeads,
} from "@ibislanding/core";
import { type ClientRequest, type IncomingMessage, request as sendRequest } from "node:http";
import type { Socket } from "node:net";
import { Result } from "ts-results";
import type { ResponseHead } from "../codec/responseHead";
import type { AttemptOptions } from "./attemptOptions";
import type { AttemptResult } from "./attemptResult";
import { discardBody } from "./discardBody";

/** Connection time-out. Connecting takes one round trip between regions; a lost packet would add a second. */
const CONNECT_TIMEOUT_MS = 500;

const SUCCESS_STATUSES = { from: 200, to: 299 };

/** Statuses that guarantee to clients that a request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether the upstream states that it did not run the request. */
const isRefusal = ({ isNotRun, isMisdirected }: ResponseHead): boolean => isNotRun || isMisdirected;

const isSuccess = ({ status }: ResponseHead): boolean =>
    status >= SUCCESS_STATUSES.from && status <= SUCCESS_STATUSES.to;

/** Returns the reason why a response to this request must not be relayed to the client; undefined if it may be. */
const findDefect = (head: ResponseHead, options: AttemptOptions): string | undefined => {
    if (options.requestId !== undefined && head.requestId === undefined) {
        return "answer-without-id";
    }
    if (!head.isSigned) {
        return "unsigned-answer";
    }
    if (isSuccess(head) && head.hasContentEncoding) {
        return "encoded-answer";
    }
    // The status guarantees to the client that the request has not run, although it may have.
    return options.kind !== "repeatable" && NOT_RUN_STATUSES.has(head.status) ? "run-answered-as-not-run" : undefined;
};

const watchSocket = (outgoing: ClientRequest, options: AttemptOptions, onSent: () => void): void => {
    outgoing.once("socket", (socket: Socket) => {
        if (!socket.connecting) {
            onSent();
            return;
        }
        const startedAtMs = performance.now();
        const timer = setTimeout(() => outgoing.destroy(new Error("connect-timeout")), CONNECT_TIMEOUT_MS);
        socket.once("connect", () => {
            clearTimeout(timer);
            socket.setNoDelay(true);
            options.connections.recordRoundTrip(performance.now() - startedAtMs);
            onSent();
        });
        socket.once("close", () => clearTimeout(timer));
    });
};

/**
 * Whether a response is to the request that was just sent. An upstream may write an earlier one again on a kept connection, and
 * it may state that a request has not run that runs. A refusal without an id is trusted only if nothing else was sent on the
 * connection, and a second refusal of one id is not trusted at all.
 */
const isOwnResponse = (
    head: ResponseHead,
    { requestId, connections }: AttemptOptions,
    { reusedSocket, socket }: ClientRequest,
): boolean => {
    if (head.requestId === undefined) {
        return !reusedSocket || !isRefusal(head);
    }
    return head.requestId === requestId && !(isRefusal(head) && connections.hasRefused(socket, requestId));
};

const reasonOf = (error: Error & { readonly code?: string; }): string => error.code ?? error.message;

/** Sends a request to an upstream and waits for the head of its response. */
export const startAttempt = (options: AttemptOptions): Promise<AttemptResult> =>
    new Promise(resolve => {
        const { connections, signal, body } = options;
        let sent = false;
        let failed = false;
        let hasResponse = false;
        let framing: FramingLimit | undefined;
        // Throws if the address can't be one of a socket.
        const opened = Result.wrap(() =>
            sendRequest({
                agent: connections.agent,
                host: connections.address.ip,
                port: connections.address.port,
                method: options.method,
                path: options.path,
                headers: options.headers.flat(),
                setHost: false,
            })
        );
        if (opened.err) {
            resolve({ kind: "unsent", reason: reasonOf(opened.val as Error) });
            return;
        }
        const outgoing = opened.val;
        rejectInvalidHeads(outgoing);
        const closeConnection = (): void => {
            failed = true;
            outgoing.destroy();
        };
        const fail = (reason: string, isLost: boolean): void => {
            failed = true;
            resolve(sent ? { kind: "unknown", reason, isLost } : { kind: "unsent", reason });
        };
        const handleResponse = (incoming: IncomingMessage): void => {
            hasResponse = true;
            framing?.recordProgress();
            const head = options.codec.readResponse(incoming);
            incoming.on("error", () => {
                failed = true;
            });
            if (!isOwnResponse(head, options, outgoing)) {
                closeConnection();
                resolve({ kind: "unknown", reason: "answer-of-another-request", isLost: false });
                return;
            }
            if (!isFinalStatus(head.status)) {
                closeConnection();
                resolve({ kind: "unknown", reason: `status-out-of-range ${head.status}`, isLost: false });
                return;
            }
            options.onProgress?.();
            if (head.keepAliveMs !== undefined) {
                connections.setKeepAlive(incoming.socket, head.keepAliveMs);
            }
            if (!head.isMisdirected) {
                options.onHead(head);
            }
            if (isRefusal(head)) {
                connections.recordRefusal(incoming.socket, head.requestId);
                discardBody(incoming, closeConnection);
                resolve({ kind: "not-run", reason: head.isMisdirected ? "misdirected" : "refused" });
                return;
            }
            const fault = findDefect(head, options);
            if (fault !== undefined) {
                closeConnection();
                resolve({ kind: "unknown", reason: fault, isLost: false });
                return;
            }
            const delimiter = findBodyDelimiter(incoming, options.method);
            if (delimiter === "connection") {
                detectReset(incoming.socket, () => {
                    failed = true;
                });
            }
            resolve({
                kind: "answered",
                response: {
                    head,
                    body: incoming,
                    delimiter,
                    recordProgress: () => {
                        framing?.recordProgress();
                        options.onProgress?.();
                    },
                    hasFailed: () => failed,
                    closeConnection,
                },
            });
        };
        watchSocket(outgoing, options, () => {
            sent = true;
        });
        outgoing.once("socket", socket => {
            framing = limitFraming(socket, () => outgoing.destroy(new Error("framing-too-large")));
            outgoing.once("close", framing.release);
        });
        const onAbort = (): void => {
            closeConnection();
            fail("aborted", false);
        };
        signal.addEventListener("abort", onAbort, { once: true });
        outgoing.once("close", () => {
            signal.removeEventListener("abort", onAbort);
            // Node.js reports neither a response nor an error if the upstream switches to another protocol.
            if (!hasResponse) {
                fail("closed-without-response", false);
            }
        });
        outgoing.on("error", error => {
            fail(reasonOf(error), true);
            outgoing.destroy();
        });
        outgoing.once(
            "response",
            guardEvent(handleResponse, error => {
                closeConnection();
                resolve({ kind: "unknown", reason: "internal-error", isLost: false });
                options.onError(error);
            }),
        );
        outgoing.end(body);
        if (signal.aborted) {
            onAbort();
        }
    });
