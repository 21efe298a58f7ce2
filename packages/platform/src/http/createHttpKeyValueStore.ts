import { createFailure, ErrorCode, type Failure, parseJson } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { KeyValueCallOptions } from "../keyValue/keyValueCallOptions";
import type { KeyValueEntry } from "../keyValue/keyValueEntry";
import type { KeyValueStore } from "../keyValue/keyValueStore";
import { createHttpClient } from "./createHttpClient";
import type { JsonRequest } from "./jsonRequest";
import type { JsonResponse } from "./jsonResponse";
import type { TransportFailure } from "./transportFailure";

const DEFAULT_TIMEOUT_MS = 2_000;

/** Added to the timeout of a long poll, for the response that follows the end of the wait. */
const LONG_POLL_MARGIN_MS = 2_000;

const errorCodesByStatus: Readonly<Record<number, ErrorCode>> = {
    404: ErrorCode.LeaseLost,
    409: ErrorCode.KeyValueConflict,
    410: ErrorCode.LeaseLost,
    413: ErrorCode.KeyValueTooLarge,
    429: ErrorCode.KeyValueUnavailable,
    503: ErrorCode.KeyValueUnavailable,
};

const writeErrorCodes: Readonly<Record<TransportFailure, ErrorCode>> = {
    "not-sent": ErrorCode.KeyValueUnavailable,
    lost: ErrorCode.KeyValueOutcomeUnknown,
};

const toFailure = (response: JsonResponse): Failure => {
    const code = errorCodesByStatus[response.status] ?? ErrorCode.KeyValueOutcomeUnknown;
    const currentVersion = Number(response.headers["x-current-version"] ?? 0);
    return createFailure(code, code === ErrorCode.KeyValueConflict ? { details: { currentVersion } } : {});
};

/** Parses the body of a successful response; a body that is not JSON is a failure like a missing response. */
const parseBody = <T>(response: JsonResponse, code: ErrorCode): Result<T, Failure> => {
    const body = parseJson(response.body) as T | undefined;
    return body === undefined
        ? Err(createFailure(code, { message: `unexpected body of a response with status ${response.status}` }))
        : Ok(body);
};

/** Creates the HTTP adapter to the key-value service at a base URL. */
export const createHttpKeyValueStore = (baseUrl: string): KeyValueStore & AsyncDisposable => {
    const httpClient = createHttpClient();

    const call = async (
        request: Omit<JsonRequest, "timeoutMs" | "signal" | "url"> & { readonly path: string; },
        options: KeyValueCallOptions,
        isRead: boolean,
        additionalTimeoutMs = 0,
    ): Promise<Result<JsonResponse, Failure>> => {
        const { path, ...rest } = request;
        const result = await httpClient.send({
            ...rest,
            url: `${baseUrl}${path}`,
            headers: { ...rest.headers, "x-cause": options.cause },
            timeoutMs: (options.timeoutMs ?? DEFAULT_TIMEOUT_MS) + additionalTimeoutMs,
            signal: options.signal,
        });
        if (result.err) {
            return Err(createFailure(isRead ? ErrorCode.KeyValueUnavailable : writeErrorCodes[result.val]));
        }
        // A missing key is a valid state for a read; a write or a lease that the service does not know has failed.
        return result.val.status < 300 || isRead && result.val.status === 404
            ? Ok(result.val)
            : Err(toFailure(result.val));
    };

    const keyPath = (key: string): string => `/v1/keys/${encodeURIComponent(key)}`;

    const toEntry = (key: string, response: JsonResponse): Result<KeyValueEntry | undefined, Failure> => {
        if (response.status === 404) {
            return Ok(undefined);
        }
        // A value is no document: nothing in it shows that it was cut.
        return response.delimiter === "connection"
            ? Err(createFailure(ErrorCode.KeyValueUnavailable, { message: "the value has neither length nor chunks" }))
            : Ok({ key, value: response.body, version: Number(response.headers["x-version"]) });
    };

    return {
        get: async (key, options) =>
            (await call({ method: "GET", path: keyPath(key) }, options, true))
                .andThen(response => toEntry(key, response)),
        list: async (prefix, options) =>
            (await call({ method: "GET", path: `/v1/keys?prefix=${encodeURIComponent(prefix)}` }, options, true))
                .andThen(response => parseBody<readonly KeyValueEntry[]>(response, ErrorCode.KeyValueUnavailable)),
        compareAndSwap: async (request, options) => {
            const headers = {
                "x-expected-version": String(request.expectedVersion),
                ...(request.leaseId === undefined ? {} : { "x-lease": request.leaseId }),
            };
            const method = request.value === undefined ? "DELETE" : "PUT";
            const path = keyPath(request.key);
            const result = await call({ method, path, headers, body: request.value }, options, false);
            return result.andThen(response => {
                const version = Number(response.headers["x-version"]);
                return Number.isInteger(version)
                    ? Ok(version)
                    : Err(createFailure(ErrorCode.KeyValueOutcomeUnknown, { message: "no version in the response" }));
            });
        },
        waitForChange: async (key, knownVersion, waitMs, options) => {
            const path = `${keyPath(key)}?knownVersion=${knownVersion}&waitMs=${waitMs}`;
            const result = await call({ method: "GET", path }, options, true, waitMs + LONG_POLL_MARGIN_MS);
            return result.andThen(response => toEntry(key, response));
        },
        grantLease: async (durationMs, options) => {
            const body = JSON.stringify({ durationMs });
            const result = await call({ method: "POST", path: "/v1/leases", body }, options, false);
            return result.andThen(response =>
                parseBody<{ readonly leaseId: string; }>(response, ErrorCode.KeyValueOutcomeUnknown)
                    .map(({ leaseId }) => leaseId)
            );
        },
        keepLeaseAlive: async (leaseId, options) =>
            (await call({ method: "POST", path: `/v1/leases/${leaseId}/keepalive` }, options, false))
                .map(() => undefined),
        revokeLease: async (leaseId, options) =>
            (await call({ method: "DELETE", path: `/v1/leases/${leaseId}` }, options, false)).map(() => undefined),
        [Symbol.asyncDispose]: () => httpClient[Symbol.asyncDispose](),
    };
};
