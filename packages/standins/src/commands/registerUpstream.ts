import { createHttpClient, type UpstreamRecord } from "@ibislanding/platform";

const TIMEOUT_MS = 5_000;

/** Registers an upstream with the host list stand-in. */
export const registerUpstream = async (hostListUrl: string, record: UpstreamRecord): Promise<void> => {
    await using http = createHttpClient();
    await http.send({
        method: "PUT",
        url: `${hostListUrl}/v1/upstreams/${record.upstreamId}`,
        body: JSON.stringify(record),
        timeoutMs: TIMEOUT_MS,
    });
};
