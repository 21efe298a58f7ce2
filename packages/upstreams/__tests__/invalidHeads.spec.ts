// Guards against an answer that reaches callers although its head is invalid: Node.js parses any three digits as a status.
import { ErrorCode, type RequestId } from "@ibislanding/core";
import { createInvalidHeads } from "../../core/__tests__/support/createInvalidHeads";
import { startHeadServer } from "../../core/__tests__/support/startHeadServer";
import { createHttpEngineClient, createHttpServiceClient, type ServiceCall } from "../src";

const call: ServiceCall = {
    requestId: "r1" as RequestId,
    method: "POST",
    path: "/orders",
    headers: {},
    body: Buffer.from("{}"),
    timeoutMs: 1_000,
    freshConnection: true,
};

const neverAborted = (): AbortSignal => new AbortController().signal;

const urlOf = ({ port }: { readonly port: number; }): string => `http://127.0.0.1:${port}`;

const FINISHED = `data: ${JSON.stringify({ type: "finished", reason: "stop" })}\n\n`;
const LENGTH = "Content-Length: 2\r\n";

test.each(["000", "001", "099", "600", "999"])("an answer with status %s is invalid", async status => {
    await using server = await startHeadServer();
    await using client = createHttpServiceClient(urlOf(server));
    Object.assign(server.state, { text: `HTTP/1.1 ${status} OK\r\n${LENGTH}\r\n{}`, isOdd: true });
    expect((await client.call(call, neverAborted())).val).toMatchObject({ code: ErrorCode.UpstreamInvalidAnswer });
});

const cases = [true, false].flatMap(freshConnection => [true, false].map(isSlow => ({ freshConnection, isSlow })));

test.each(cases)(
    "an answer with a blank or a control byte in a field name is not passed on, %j",
    async ({ freshConnection, isSlow }) => {
        await using server = await startHeadServer();
        await using client = createHttpServiceClient(urlOf(server));
        for (const { title, head } of createInvalidHeads(LENGTH)) {
            Object.assign(server.state, { text: `HTTP/1.1 200 OK\r\n${LENGTH}\r\n{}`, isOdd: false, isSlow });
            expect((await client.call({ ...call, freshConnection }, neverAborted())).ok).toBe(true);
            Object.assign(server.state, { text: `${head}{}`, isOdd: true });
            const { val } = await client.call({ ...call, freshConnection }, neverAborted());
            expect({ title, val }).toMatchObject({ title, val: { code: ErrorCode.UpstreamSilent } });
        }
        expect(Math.max(...server.requests())).toBe(freshConnection ? 1 : 2);
    },
);

test.each([true, false])(
    "a stream or a load report of an engine with an invalid field name is not accepted, byte by byte %s",
    async isSlow => {
        await using server = await startHeadServer();
        await using client = createHttpEngineClient(urlOf(server));
        const requestId = "r1" as RequestId;
        for (const { title, head } of createInvalidHeads(`Content-Length: ${FINISHED.length}\r\n`)) {
            Object.assign(server.state, { text: `${head}${FINISHED}`, isOdd: true, isSlow });
            const stream = await client.attach(requestId, 0, neverAborted());
            expect({ title, val: stream.val }).toMatchObject({ title, val: { code: ErrorCode.UpstreamSilent } });
        }
        for (const { title, head } of createInvalidHeads(LENGTH)) {
            server.state.text = `${head}{}`;
            expect({ title, val: (await client.load()).val }).toMatchObject({
                title,
                val: { code: ErrorCode.UpstreamSilent },
            });
        }
    },
);
