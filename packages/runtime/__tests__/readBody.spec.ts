// Guards against budgets for all bodies together that are smaller than the largest single body that a listener allows.
import { request as sendRequest } from "node:http";
import { createHttpListener, readBody } from "../src";

const MAXIMUM_BODY_BYTES = 90_000_000;
const BODY_BYTES = 80_000_000;

const send = (port: number, headers: Record<string, string | number>): Promise<string> =>
    new Promise((resolve, reject) => {
        const outgoing = sendRequest({ port, host: "127.0.0.1", method: "POST", headers }, response => {
            let text = "";
            response.setEncoding("utf8").on("data", (part: string) => {
                text += part;
            });
            response.on("end", () => resolve(text));
        });
        outgoing.on("error", reject);
        outgoing.end(Buffer.alloc(BODY_BYTES));
    });

test.each([
    ["whole", { "Content-Length": BODY_BYTES }],
    ["in chunks", { "Transfer-Encoding": "chunked" }],
])("a single large body within the limit of its listener is read, %s", async (_title, headers) => {
    await using listener = await createHttpListener(
        { address: "127.0.0.1", port: 0, tls: "off" },
        async (request, response) => {
            const body = await readBody(request, response, MAXIMUM_BODY_BYTES);
            response.end(body.ok ? String(body.val.length) : body.val.code);
        },
    );
    expect(await send(listener.port, headers)).toBe(String(BODY_BYTES));
});
