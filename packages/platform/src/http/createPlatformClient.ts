import { createFailure, ErrorCode, type Failure, parseJson } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import { createHttpClient } from "./createHttpClient";
import type { JsonRequest } from "./jsonRequest";
import type { JsonResponse } from "./jsonResponse";
import type { PlatformClient } from "./platformClient";

const TIMEOUT_MS = 2_000;

const REFUSED_STATUS = 409;

const refusalCodes: Readonly<Record<string, ErrorCode>> = {
    [ErrorCode.PlatformRefused]: ErrorCode.PlatformRefused,
    [ErrorCode.StaleFencingNumber]: ErrorCode.StaleFencingNumber,
};

const toRefusal = (response: JsonResponse): Failure => {
    try {
        const { code = "", retryAfterMs } = JSON.parse(response.body) as { code?: string; retryAfterMs?: number; };
        return createFailure(refusalCodes[code] ?? ErrorCode.PlatformUnavailable, { retryAfterMs });
    }
    catch {
        return createFailure(ErrorCode.PlatformUnavailable);
    }
};

/** Parses the body of a successful response; only that to a `DELETE` may be empty. */
const parseBody = <T>(body: string, method: string): Result<T, Failure> => {
    const parsed = parseJson(body);
    return parsed === undefined && (body !== "" || method !== "DELETE")
        ? Err(createFailure(ErrorCode.PlatformUnavailable, { message: "the response is not valid JSON" }))
        : Ok(parsed as T);
};

/** Creates the client of a JSON service of the platform at a base URL. */
export const createPlatformClient = (baseUrl: string): PlatformClient => {
    const httpClient = createHttpClient();
    return {
        call: async <T>(request: Pick<JsonRequest, "method" | "body" | "signal">, path: string, waitMs = 0) => {
            const timeoutMs = TIMEOUT_MS + waitMs;
            const result = await httpClient.send({ ...request, url: `${baseUrl}${path}`, timeoutMs });
            if (result.ok && result.val.status === REFUSED_STATUS) {
                return Err(toRefusal(result.val));
            }
            return result.err || result.val.status >= 300
                ? Err(createFailure(ErrorCode.PlatformUnavailable))
                : parseBody<T>(result.val.body, request.method);
        },
        [Symbol.asyncDispose]: () => httpClient[Symbol.asyncDispose](),
    };
};
