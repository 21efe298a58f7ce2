import { request as sendRequest } from "node:http";

/** What a client has received of a stream. */
export interface ReceivedStream {
    readonly status: number;
    readonly lastEventId: number;
    /** Software versions that wrote the events. */
    readonly versions: ReadonlySet<string>;
}

/** Time after which a stream without an end is given up; a test that waits for it forever would also never close its hosts. */
const MAXIMUM_WAIT_MS = 30_000;

/** Reads a stream to its end, or until the client leaves after a number of events. */
export const readStream = (
    port: number,
    { requestId, leavesAfter = Infinity, headers = {}, path = "/orders/1" }: {
        readonly requestId: string;
        readonly leavesAfter?: number;
        readonly headers?: Readonly<Record<string, string>>;
        readonly path?: string;
    },
): Promise<ReceivedStream> =>
    new Promise(resolve => {
        let status = 0;
        let text = "";
        const ids = (): readonly number[] => [...text.matchAll(/id: (\d+)\n/g)].map(([, id]) => Number(id));
        const outgoing = sendRequest({
            agent: false,
            host: "127.0.0.1",
            port,
            method: "POST",
            path,
            headers: { "Host": "shop.example", "X-Request": requestId, "Authorization": "k1", ...headers },
        }, response => {
            status = response.statusCode ?? 0;
            response.setEncoding("utf8");
            response.on("data", (chunk: string) => {
                text += chunk;
                if (ids().length >= leavesAfter) {
                    outgoing.destroy();
                }
            });
            response.on("error", () => undefined);
        });
        outgoing.on("error", () => undefined);
        const timer = setTimeout(() => outgoing.destroy(), MAXIMUM_WAIT_MS);
        outgoing.on("close", () => {
            clearTimeout(timer);
            resolve({
                status,
                lastEventId: Math.max(0, ...ids()),
                versions: new Set([...text.matchAll(/data: (\S+)\n/g)].map(([, version = ""]) => version)),
            });
        });
        outgoing.end("{}");
    });
