import { detectReset, findBodyDelimiter, isFinalStatus, limitFraming, rejectInvalidHeads } from "@ibislanding/core";
import { type Agent, type IncomingMessage, request as sendRequest } from "node:http";
import { decodeHeaderText } from "../messages/decodeHeaderText";
import { encodeRelayHead } from "../messages/encodeRelayHead";
import { relayHeaders } from "../messages/relayHeaders";
import { withoutRelayHeaders } from "../messages/withoutRelayHeaders";
import type { RelaySend } from "./relaySend";
import type { RelaySendResult } from "./relaySendResult";

/**
 * Time within which a peer confirms that it has read a request, including two round trips between regions. A peer that is
 * gone or paused costs this time once, and then the request goes to another one.
 */
const CONFIRM_TIMEOUT_MS = 500;

/** Status of the informational response with which a peer confirms that it has read a request. */
const CONFIRMED_STATUS = 102;

/** Statuses of a peer's own refusals after which the request may have run. */
const RUN_STATUSES: ReadonlySet<number> = new Set([502, 504]);

const MS_PER_S = 1_000;

/**
 * Headers that hold for the caller's connection only, or describe the framing of its body, and those without a name, which Node.js
 * parses and refuses to send.
 */
const DROPPED: ReadonlySet<string> = new Set([
    "",
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

const headersOf = ({ rawHeaders, head, body, dueAtMs }: RelaySend, ownAddress: string, nowMs: number) => [
    ...withoutRelayHeaders(rawHeaders, [relayHeaders.mark]).filter((_, index, kept) =>
        !DROPPED.has((kept[index - index % 2] ?? "").toLowerCase())
    ),
    relayHeaders.mark,
    ownAddress,
    relayHeaders.head,
    encodeRelayHead({
        ...head,
        sender: ownAddress,
        remainingMs: Math.floor(dueAtMs - nowMs),
        bodyBytes: body.length,
    }),
    "Transfer-Encoding",
    "chunked",
];

const readText = (value: string | string[] | undefined): string | undefined => {
    const text = Array.isArray(value) ? value[0] : value;
    return text === undefined ? undefined : decodeHeaderText(text);
};

/** Peer's statement of its load in the answer, if any. */
const readLoad = ({ headers }: IncomingMessage): number | undefined => {
    const load = Number(headers[relayHeaders.load] ?? Number.NaN);
    return Number.isFinite(load) && load >= 0 ? load : undefined;
};

const readRefusal = (incoming: IncomingMessage, reason: string, mayHaveRun: boolean): RelaySendResult => {
    const status = incoming.statusCode ?? 0;
    const retryAfterS = Number(incoming.headers["retry-after"] ?? Number.NaN);
    return {
        kind: "refused",
        status,
        reason,
        retryAfterMs: Number.isFinite(retryAfterS) ? retryAfterS * MS_PER_S : undefined,
        hasRun: mayHaveRun && RUN_STATUSES.has(status),
    };
};

/**
 * Sends a request to one peer and waits for the head of its answer.
 *
 * The end of the body is withheld until the peer has confirmed that it has read the rest, and the peer runs the request only
 * after that end. A request that is lost before has not run, even if the peer or its host dies at that moment.
 */
export const sendToPeer = (
    { request, peerAddress, ownAddress, agent, nowMs, onLoad }: {
        readonly request: RelaySend;
        readonly peerAddress: string;
        readonly ownAddress: string;
        readonly agent: Agent;
        readonly nowMs: number;
        readonly onLoad: (requestsInFlight: number) => void;
    },
): Promise<RelaySendResult> =>
    new Promise(resolve => {
        const separator = peerAddress.lastIndexOf(":");
        let mayHaveRun = false;
        let failed = false;
        let isSettled = false;
        const settle = (result: RelaySendResult): void => {
            isSettled = true;
            clearTimeout(timer);
            resolve(result);
        };
        const outgoing = sendRequest({
            agent,
            host: peerAddress.slice(0, separator),
            port: Number(peerAddress.slice(separator + 1)),
            method: request.method,
            path: request.target,
            headers: headersOf(request, ownAddress, nowMs),
            setHost: false,
        });
        rejectInvalidHeads(outgoing);
        const closeConnection = (): void => {
            failed = true;
            outgoing.destroy();
        };
        const fail = (reason: string): void => {
            failed = true;
            settle(mayHaveRun ? { kind: "unknown", reason } : { kind: "not-run", reason });
        };
        const timer = setTimeout(() => {
            fail("confirm-timeout");
            outgoing.destroy();
        }, CONFIRM_TIMEOUT_MS);
        const onAbort = (): void => {
            closeConnection();
            fail("aborted");
        };
        request.signal.addEventListener("abort", onAbort, { once: true });
        outgoing.once("socket", socket => {
            socket.setNoDelay(true);
            const framing = limitFraming(socket, () => outgoing.destroy(new Error("framing-too-large")));
            // The end of the body is not watched: the caller reads it, or gives it up.
            outgoing.once("response", framing.release);
            outgoing.once("close", framing.release);
        });
        outgoing.once("close", () => request.signal.removeEventListener("abort", onAbort));
        outgoing.on("information", ({ statusCode }) => {
            if (statusCode === CONFIRMED_STATUS && !failed) {
                clearTimeout(timer);
                mayHaveRun = true;
                outgoing.end();
            }
        });
        outgoing.on("error", (error: NodeJS.ErrnoException) => fail(error.code ?? error.message));
        outgoing.once("close", () => {
            if (!isSettled) {
                fail("connection-lost");
            }
        });
        outgoing.once("response", incoming => {
            const load = readLoad(incoming);
            if (load !== undefined) {
                onLoad(load);
            }
            incoming.on("error", () => {
                failed = true;
            });
            if (!isFinalStatus(incoming.statusCode ?? 0)) {
                closeConnection();
                fail(`status-out-of-range ${incoming.statusCode}`);
                return;
            }
            const refusal = readText(incoming.headers[relayHeaders.refusal]);
            if (refusal !== undefined || !mayHaveRun) {
                incoming.resume();
                outgoing.end();
                settle(readRefusal(incoming, refusal ?? "unconfirmed-answer", mayHaveRun));
                return;
            }
            if (findBodyDelimiter(incoming, request.method) === "connection") {
                detectReset(incoming.socket, () => {
                    failed = true;
                });
            }
            settle({
                kind: "answered",
                body: incoming,
                softwareVersion: readText(incoming.headers[relayHeaders.version]),
                hasFailed: () => failed,
                closeConnection,
            });
        });
        outgoing.flushHeaders();
        if (request.body.length > 0) {
            outgoing.write(request.body);
        }
        if (request.signal.aborted) {
            onAbort();
        }
    });
