import { createSystemClock, ErrorCode, type Failure } from "@ibislanding/core";
import { createFakeKeyValueStore, type KeyValueCause, type KeyValueEntry } from "@ibislanding/platform";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Result } from "ts-results";
import { answerJson } from "../server/answerJson";
import { createStandInServer } from "../server/createStandInServer";
import type { Route } from "../server/route";
import type { StandInServer } from "../server/standInServer";

const statuses: Partial<Record<ErrorCode, number>> = {
    [ErrorCode.KeyValueConflict]: 409,
    [ErrorCode.LeaseLost]: 410,
    [ErrorCode.KeyValueTooLarge]: 413,
    [ErrorCode.KeyValueUnavailable]: 503,
};

const answerFailure = (response: ServerResponse, failure: Failure): void => {
    const currentVersion = String(Number(failure.details?.["currentVersion"] ?? 0));
    response.writeHead(statuses[failure.code] ?? 500, { "x-current-version": currentVersion }).end();
};

const answerEntry = (response: ServerResponse, result: Result<KeyValueEntry | undefined, Failure>): void => {
    if (result.err) {
        answerFailure(response, result.val);
    }
    else if (result.val === undefined) {
        response.writeHead(404).end();
    }
    else {
        response.writeHead(200, { "x-version": String(result.val.version) }).end(result.val.value);
    }
};

const answerResult = (response: ServerResponse, result: Result<unknown, Failure>): void => {
    if (result.err) {
        answerFailure(response, result.val);
    }
    else {
        answerJson(response, 200, result.val ?? {});
    }
};

const causeOf = (request: IncomingMessage): { cause: KeyValueCause; } => ({
    cause: String(request.headers["x-cause"] ?? "experiment") as KeyValueCause,
});

/** Starts a stand-in for the key-value service; `GET /calls` returns the calls by cause and the bytes written. */
export const createKeyValueStandIn = (port: number): Promise<StandInServer> => {
    const store = createFakeKeyValueStore(createSystemClock());

    const write = async (
        request: IncomingMessage,
        response: ServerResponse,
        key: string,
        value: string | undefined,
    ) => {
        const leaseId = request.headers["x-lease"];
        const result = await store.compareAndSwap({
            key,
            expectedVersion: Number(request.headers["x-expected-version"]),
            value,
            leaseId: typeof leaseId === "string" ? leaseId : undefined,
        }, causeOf(request));
        if (result.err) {
            answerFailure(response, result.val);
        }
        else {
            response.writeHead(200, { "x-version": String(result.val) }).end();
        }
    };

    const routes: readonly Route[] = [
        {
            method: "GET",
            pattern: /^\/v1\/keys$/,
            handle: async ({ request, response, url }) =>
                answerResult(response, await store.list(url.searchParams.get("prefix") ?? "", causeOf(request))),
        },
        {
            method: "GET",
            pattern: /^\/v1\/keys\/([^/]+)$/,
            handle: async ({ request, response, url, groups: [key = ""] }) => {
                const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
                const abort = new AbortController();
                response.on("close", () => abort.abort());
                const knownVersion = Number(url.searchParams.get("knownVersion") ?? 0);
                answerEntry(
                    response,
                    waitMs > 0
                        ? await store.waitForChange(key, knownVersion, waitMs, {
                            ...causeOf(request),
                            signal: abort.signal,
                        })
                        : await store.get(key, causeOf(request)),
                );
            },
        },
        {
            method: "PUT",
            pattern: /^\/v1\/keys\/([^/]+)$/,
            handle: ({ request, response, body, groups: [key = ""] }) => write(request, response, key, body),
        },
        {
            method: "DELETE",
            pattern: /^\/v1\/keys\/([^/]+)$/,
            handle: ({ request, response, groups: [key = ""] }) => write(request, response, key, undefined),
        },
        {
            method: "POST",
            pattern: /^\/v1\/leases$/,
            handle: async ({ request, response, body }) => {
                const { durationMs } = JSON.parse(body) as { durationMs: number; };
                const result = await store.grantLease(durationMs, causeOf(request));
                answerResult(response, result.map(leaseId => ({ leaseId })));
            },
        },
        {
            method: "POST",
            pattern: /^\/v1\/leases\/([^/]+)\/keepalive$/,
            handle: async ({ request, response, groups: [leaseId = ""] }) =>
                answerResult(response, await store.keepLeaseAlive(leaseId, causeOf(request))),
        },
        {
            method: "DELETE",
            pattern: /^\/v1\/leases\/([^/]+)$/,
            handle: async ({ request, response, groups: [leaseId = ""] }) =>
                answerResult(response, await store.revokeLease(leaseId, causeOf(request))),
        },
        {
            method: "GET",
            pattern: /^\/calls$/,
            handle: ({ response }) =>
                answerJson(response, 200, { calls: store.callCounts(), bytes: store.writtenBytes() }),
        },
    ];
    return createStandInServer(port, routes);
};
