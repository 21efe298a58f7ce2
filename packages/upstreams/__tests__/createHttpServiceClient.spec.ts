import { ErrorCode, type RequestId } from "@ibislanding/core";
import { createStandInServer, type Route } from "@ibislanding/standins";
import { createHttpServiceClient, type ServiceCall } from "@ibislanding/upstreams";

const signal = new AbortController().signal;

const call = (fields: Partial<ServiceCall> = {}): ServiceCall => ({
    requestId: "r1" as RequestId,
    method: "POST",
    path: "/orders",
    headers: {},
    body: Buffer.from("{}"),
    timeoutMs: 500,
    freshConnection: false,
    ...fields,
});

const respondWithId = (requestId: string): Route => ({
    method: "*",
    pattern: /^\/orders$/,
    handle: ({ response }) => void response.writeHead(200, { "x-request-id": requestId }).end("done"),
});

describe("createHttpServiceClient", () => {
    it("leaves no listeners on reused connections", async () => {
        const warnings: string[] = [];
        const listener = (warning: Error): void => void warnings.push(warning.name);
        process.on("warning", listener);
        await using server = await createStandInServer(0, [respondWithId("r1")]);
        await using client = createHttpServiceClient(server.url);
        for (let count = 0; count < 15; count++) {
            expect((await client.call(call(), signal)).ok).toBe(true);
        }
        await new Promise(resolve => setImmediate(resolve));
        process.off("warning", listener);
        expect(warnings).toEqual([]);
    });

    it("rejects a response to another request", async () => {
        await using server = await createStandInServer(0, [respondWithId("r2")]);
        await using client = createHttpServiceClient(server.url);
        const result = await client.call(call(), signal);
        expect(result.val).toMatchObject({ code: ErrorCode.UpstreamInvalidAnswer });
    });

    it.each([true, false])(
        "distinguishes a call that was not sent from one that was lost, fresh connection %s",
        async freshConnection => {
            const server = await createStandInServer(0, [{
                method: "*",
                pattern: /^\/orders$/,
                handle: () => undefined,
            }]);
            await using client = createHttpServiceClient(server.url);
            const lost = await client.call(call({ freshConnection, timeoutMs: 200 }), signal);
            expect(lost.val).toMatchObject({ code: ErrorCode.UpstreamSilent });
            await server[Symbol.asyncDispose]();
            const unreachable = await client.call(call({ freshConnection }), signal);
            expect(unreachable.val).toMatchObject({ code: ErrorCode.UpstreamUnreachable });
        },
    );

    it("reports a call as rejected before it ran only if the service declares it", async () => {
        const refuse = (headers: Record<string, string>): Route => ({
            method: "*",
            pattern: /^\/orders$/,
            handle: ({ response }) => void response.writeHead(503, headers).end(),
        });
        await using refusing = await createStandInServer(0, [refuse({ "x-not-run": "1" })]);
        await using failing = await createStandInServer(0, [refuse({})]);
        await using first = createHttpServiceClient(refusing.url);
        await using second = createHttpServiceClient(failing.url);
        expect((await first.call(call(), signal)).val).toMatchObject({ code: ErrorCode.UpstreamRefused });
        expect((await second.call(call(), signal)).val).toMatchObject({ status: 503 });
    });
});
