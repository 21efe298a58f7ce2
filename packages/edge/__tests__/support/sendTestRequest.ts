import { request as sendRequest } from "node:http";

/** Time after which a request without an end is given up; a test that waits for it forever would also never close its hosts. */
const MAXIMUM_WAIT_MS = 30_000;

/** Sends a request to a host over a new connection; returns the status, or 0 if the response is not complete. */
export const sendTestRequest = (
    port: number,
    { path, body, headers = {} }: {
        readonly path: string;
        readonly body: string;
        readonly headers?: Readonly<Record<string, string>>;
    },
): Promise<number> =>
    new Promise(resolve => {
        const outgoing = sendRequest({
            agent: false,
            host: "127.0.0.1",
            port,
            method: "POST",
            path,
            headers: {
                "Host": "shop.example",
                "X-Request": `r${Math.random()}`,
                "Authorization": "k1",
                ...headers,
            },
        }, response => {
            response.resume();
            response.on("error", () => undefined);
            response.on("close", () => resolve(response.complete ? response.statusCode ?? 0 : 0));
        });
        const timer = setTimeout(() => outgoing.destroy(), MAXIMUM_WAIT_MS);
        outgoing.on("error", () => resolve(0));
        outgoing.on("close", () => clearTimeout(timer));
        outgoing.end(body);
    });
