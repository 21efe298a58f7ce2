import { createFailure, ErrorCode, type Failure, parseJson } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { HostList } from "../hosts/hostList";
import type { SystemHostRecord } from "../hosts/systemHostRecord";
import type { UpstreamRecord } from "../hosts/upstreamRecord";
import { createHttpClient } from "./createHttpClient";
import type { JsonRequest } from "./jsonRequest";

const TIMEOUT_MS = 2_000;

/** Creates the HTTP adapter to the host list at a base URL. */
export const createHttpHostList = (baseUrl: string): HostList & AsyncDisposable => {
    const httpClient = createHttpClient();

    const call = async <T>(
        request: Pick<JsonRequest, "method" | "body">,
        path: string,
    ): Promise<Result<T, Failure>> => {
        const result = await httpClient.send({ ...request, url: `${baseUrl}${path}`, timeoutMs: TIMEOUT_MS });
        if (result.err || result.val.status >= 300) {
            return Err(createFailure(ErrorCode.PlatformUnavailable));
        }
        const { body } = result.val;
        const parsed = parseJson(body);
        // Only the response to a read has a document.
        return parsed === undefined && (body !== "" || request.method === "GET")
            ? Err(createFailure(ErrorCode.PlatformUnavailable, { message: "the response is not valid JSON" }))
            : Ok(parsed as T);
    };

    return {
        listUpstreams: () => call<readonly UpstreamRecord[]>({ method: "GET" }, "/v1/upstreams"),
        listSystemHosts: () => call<readonly SystemHostRecord[]>({ method: "GET" }, "/v1/system-hosts"),
        registerSystemHost: record =>
            call<void>({ method: "PUT", body: JSON.stringify(record) }, `/v1/system-hosts/${record.hostId}`),
        [Symbol.asyncDispose]: () => httpClient[Symbol.asyncDispose](),
    };
};
