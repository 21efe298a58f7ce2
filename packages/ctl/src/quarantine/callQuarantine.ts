import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import { parseResponse } from "../client/parseResponse";
import type { RetryTiming } from "../client/retryTiming";
import { sendHttpRequest } from "../client/sendHttpRequest";

/** Calls the quarantine of a host, given the URL of its metrics listener and a path below `/quarantine`. */
export const callQuarantine = async <T>(
    method: "GET" | "DELETE",
    url: string,
    { timeoutMs }: RetryTiming,
    path?: string,
): Promise<Result<T, Failure>> => {
    const base = `${url.replace(/\/+$/, "")}/quarantine`;
    const response = await sendHttpRequest({
        method,
        url: path === undefined ? base : `${base}/${path}`,
        timeoutMs,
    });
    return response.andThen(received => parseResponse<T>(received));
};
