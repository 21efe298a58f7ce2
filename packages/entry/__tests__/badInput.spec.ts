import fc from "fast-check";
import { connect } from "node:net";
import { OTHER_KEY, startTestSystem, TEST_KEY, type TestSystem } from "./startTestSystem";

const message = { role: "user", content: "hello" };

describe("bad input from callers", () => {
    let system: TestSystem;
    beforeAll(async () => {
        system = await startTestSystem(1);
    });
    afterAll(() => system[Symbol.asyncDispose]());

    const post = (body: string, path = "/v1/chat/completions", key = TEST_KEY, headers: Record<string, string> = {}) =>
        fetch(`${system.entry.url}${path}`, {
            method: "POST",
            body,
            headers: { authorization: `Bearer ${key}`, ...headers },
        });

    const expectProblem = async (answer: Response, status: number, code: string): Promise<void> => {
        expect(answer.headers.get("content-type")).toBe("application/problem+json");
        expect(await answer.json()).toMatchObject({ status, code });
        expect(answer.status).toBe(status);
    };

    it.each([
        ["invalid JSON", "{", 400, "bad_request"],
        ["no messages", JSON.stringify({ model: "advisor", messages: [] }), 400, "bad_request"],
        [
            "an unknown role",
            JSON.stringify({ model: "advisor", messages: [{ role: "x", content: "" }] }),
            400,
            "bad_request",
        ],
        [
            "an out-of-range number",
            JSON.stringify({ model: "advisor", messages: [message], max_tokens: 1e300 }),
            400,
            "bad_request",
        ],
        ["an unknown model", JSON.stringify({ model: "none", messages: [message] }), 404, "unknown_model"],
        ["an unknown adapter", JSON.stringify({ model: "advisor:none", messages: [message] }), 404, "unknown_model"],
        [
            "a model that the client account may not use",
            JSON.stringify({ model: "secret", messages: [message] }),
            403,
            "forbidden_model",
        ],
        ["a large body", `"${"x".repeat(4_100_000)}"`, 413, "body_too_large"],
    ])(
        "answers %s with a typed error",
        async (_title, body, status, code) => expectProblem(await post(body), status, code),
    );

    it("names the invalid fields without repeating the prompt", async () => {
        const body = JSON.stringify({
            model: "advisor",
            messages: [{ role: "secret-text", content: 5 }],
            temperature: 9,
        });
        const text = await (await post(body)).text();
        expect(JSON.parse(text)).toMatchObject({
            details: { issues: expect.arrayContaining([expect.objectContaining({ field: "temperature" })]) },
        });
        expect(text).not.toContain("secret-text");
    });

    it.each([
        ["a wrong key", "/v1/models", "wrong", 401, "unauthenticated"],
        ["an unknown service", "/services/none/x", TEST_KEY, 404, "unknown_service"],
        ["a service of type engine", "/services/advisor/x", TEST_KEY, 404, "unknown_service"],
        ["a service that the client account may not use", "/services/catalogue/x", OTHER_KEY, 403, "forbidden"],
        ["an unknown path", "/v2", TEST_KEY, 404, "unknown_route"],
        ["a path that escapes its service", "/services/payments/../../v2", TEST_KEY, 404, "unknown_route"],
        [
            "an encoded path that escapes its service",
            "/services/payments/%2e%2e/%2e%2e/v2",
            TEST_KEY,
            404,
            "unknown_route",
        ],
    ])("answers %s with a typed error", async (_title, path, key, status, code) => {
        const headers = { authorization: `Bearer ${key}` };
        await expectProblem(await fetch(`${system.entry.url}${path}`, { headers }), status, code);
    });

    it.each(["0", "-1", "1e9", "abc", "99999999"])("rejects the request timeout %j", async timeoutMs => {
        const body = JSON.stringify({ model: "advisor", messages: [message] });
        const answer = await post(body, undefined, undefined, { "x-request-timeout-ms": timeoutMs });
        await expectProblem(answer, 400, "bad_request");
    });

    it("answers 400 rather than an internal error to any invalid body", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.oneof(fc.string(), fc.json(), fc.jsonValue().map(value => JSON.stringify({ messages: value }))),
                async body => (await post(body)).status === 400,
            ),
            { seed: 31, numRuns: 150 },
        );
    });

    it("serves other callers while connections are half open, send oversized headers or invalid HTTP", async () => {
        const { port, hostname } = new URL(system.entry.url);
        const open = (text: string) => {
            const socket = connect(Number(port), hostname);
            socket.on("error", () => undefined);
            socket.write(text);
            return socket;
        };
        const sockets = [
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{",
            `GET / HTTP/1.1\r\n${"x: y\r\n".repeat(5_000)}`,
            "\u0000\u0001\u0002\r\n\r\n",
            "GET // HTTP/1.1\r\nhost: x\r\n\r\n",
        ].flatMap(text => Array.from({ length: 20 }, () => open(text)));
        const answer = await post(JSON.stringify({ model: "advisor", messages: [message] }));
        sockets.forEach(socket => socket.destroy());
        expect(answer.status).toBe(200);
    });
});
