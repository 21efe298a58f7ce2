import type { RequestId } from "@ibislanding/core";
import type { HeaderCodec } from "../../src";

const textOf = (value: string | string[] | undefined): string | undefined =>
    Array.isArray(value) ? value.join(",") : value;

/** Header codec with names that are used only by these tests. */
export const testCodec: HeaderCodec = {
    readRequest: ({ headers, url, method }) => ({
        requestId: textOf(headers["x-request"]) as RequestId | undefined,
        host: headers.host ?? "",
        path: url ?? "/",
        method: method ?? "GET",
        apiKey: headers.authorization,
        deadlineMs: headers["x-deadline"] === undefined ? undefined : Number(headers["x-deadline"]),
        tokens: undefined,
        promptParts: (textOf(headers["x-parts"]) ?? "").split(",").filter(part => part !== "").map(partId => ({
            partId,
            tokens: 100,
        })),
        lastEventId: textOf(headers["last-event-id"]),
        resumedRequestId: textOf(headers["x-resumes"]) as RequestId | undefined,
    }),
    reservedRequestHeaders: new Set(["authorization", "x-deadline", "x-account", "x-upstream"]),
    upstreamRequestHeaders: ({ upstreamId, deadlineMs, accountId, lastEventId, handle }) => [
        ["X-Upstream", upstreamId],
        ["X-Deadline", String(Math.floor(deadlineMs))],
        ...(accountId === undefined ? [] : [["X-Account", accountId] as const]),
        ...(lastEventId === undefined ? [] : [["Last-Event-Id", lastEventId] as const]),
        ...(handle === undefined ? [] : [["X-Handle", handle.handleId] as const]),
    ],
    readResponse: ({ headers, statusCode }) => ({
        status: statusCode ?? 0,
        requestId: textOf(headers["x-request"]) as RequestId | undefined,
        isSigned: headers["x-signature"] !== undefined,
        isNotRun: headers["x-not-run"] !== undefined,
        isMisdirected: statusCode === 421,
        hasContentEncoding: headers["content-encoding"] !== undefined,
        keepAliveMs: undefined,
        isLeaving: headers["x-leaving"] !== undefined,
        pauseMs: headers["x-pause"] === undefined ? undefined : Number(headers["x-pause"]),
        limitPerS: headers["x-limit"] === undefined ? undefined : Number(headers["x-limit"]),
        brittleRejectionsPerS: headers["x-brittle"] === undefined ? undefined : Number(headers["x-brittle"]),
        invalidHeaders: [],
    }),
};
