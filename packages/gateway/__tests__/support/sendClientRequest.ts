import { request as sendRequest } from "node:http";

/** Response as received by a client. */
export interface ReceivedResponse {
    readonly status: number;
    readonly headers: NodeJS.Dict<string | string[]>;
    readonly body: string;
    /** Whether the response body was received completely. */
    readonly isComplete: boolean;
}

/** Sends one request as a client on a new connection. */
export const sendClientRequest = (
    port: number,
    requestId: string,
    fields: { readonly method?: string; readonly headers?: Readonly<Record<string, string>>; readonly body?: string; } =
        {},
): Promise<ReceivedResponse> =>
    new Promise(resolve => {
        const outgoing = sendRequest({
            agent: false,
            host: "127.0.0.1",
            port,
            path: "/orders/1",
            method: fields.method ?? "POST",
            headers: { Host: "shop.example", "X-Request": requestId, ...fields.headers },
        });
        const broken = (): void => resolve({ status: 0, headers: {}, body: "", isComplete: false });
        outgoing.on("error", broken);
        outgoing.on("response", response => {
            let body = "";
            response.on("data", (chunk: Buffer) => {
                body += chunk.toString();
            });
            response.on("error", () => undefined);
            response.on("close", () =>
                resolve({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    body,
                    isComplete: response.complete,
                }));
        });
        outgoing.end(fields.body ?? "");
    });
