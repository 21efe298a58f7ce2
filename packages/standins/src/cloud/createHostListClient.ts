import { createHttpClient, type UpstreamRecord } from "@ibislanding/platform";
import type { HostListClient } from "./hostListClient";

const TIMEOUT_MS = 2_000;

/** Creates the client of the cloud stand-in for the host list; failed writes are ignored, failed reads are empty. */
export const createHostListClient = (hostListUrl: string): HostListClient => {
    const http = createHttpClient();
    return {
        put: async record => {
            const url = `${hostListUrl}/v1/upstreams/${encodeURIComponent(record.upstreamId)}`;
            await http.send({ method: "PUT", url, body: JSON.stringify(record), timeoutMs: TIMEOUT_MS });
        },
        list: async () => {
            const url = `${hostListUrl}/v1/upstreams`;
            const result = await http.send({ method: "GET", url, timeoutMs: TIMEOUT_MS });
            return result.ok && result.val.status === 200
                ? JSON.parse(result.val.body) as readonly UpstreamRecord[]
                : [];
        },
        post: async (url, body) => {
            await http.send({ method: "POST", url, body: JSON.stringify(body), timeoutMs: TIMEOUT_MS });
        },
        [Symbol.asyncDispose]: () => http[Symbol.asyncDispose](),
    };
};
