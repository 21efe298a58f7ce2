import fc from "fast-check";
import { request } from "node:http";
import { connect } from "node:net";
import { startTestAdmin } from "./startTestAdmin";

const SEED = 20261203;

const PATH = "/v1/resources/Service/payments";
const MANIFEST = { kind: "Service", name: "payments", team: "billing", spec: { type: "plain" } };

interface RawRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

/** Sends a request unchanged; resolves with the status, or 0 if the connection failed. */
const sendRaw = (url: string, { method, path, headers, body }: RawRequest): Promise<number> =>
    new Promise(resolve => {
        const { hostname, port } = new URL(url);
        const options = { hostname, port, method, path, agent: false as const };
        const call = request({ ...options, headers: { authorization: "Bearer root-token", ...headers } }, response => {
            response.resume();
            response.on("close", () => resolve(response.statusCode ?? 0));
        });
        call.on("error", () => resolve(0));
        call.end(body);
    });

/** Sends bytes on a separate connection and half-closes it; resolves with the response text. */
const sendBytes = (url: string, bytes: string): Promise<string> =>
    new Promise(resolve => {
        const socket = connect(Number(new URL(url).port), "127.0.0.1");
        let answer = "";
        socket.on("data", (chunk: Buffer) => {
            answer += chunk.toString("latin1");
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(answer));
        socket.end(bytes, "latin1");
    });

const segment = fc.oneof(
    fc.constantFrom(
        "v1",
        "resources",
        "Service",
        "payments",
        "operations",
        "watch",
        "..",
        "%2e%2e",
        "%2f",
        "%zz",
        "%00",
    ),
    fc.webSegment(),
);

const jsonBody = fc.oneof(
    fc.json({ maxDepth: 4 }),
    fc.record({
        changes: fc.array(fc.record({ action: fc.constantFrom("apply", "delete", 1), manifest: fc.anything() })),
    })
        .map(value => JSON.stringify(value, (_field, inner: unknown) => (typeof inner === "bigint" ? 0 : inner)) ?? ""),
    fc.string(),
);

const rawRequest: fc.Arbitrary<RawRequest> = fc.record({
    method: fc.constantFrom("GET", "PUT", "POST", "DELETE", "PATCH", "OPTIONS"),
    path: fc.array(segment, { maxLength: 6 }).map(segments => `/${segments.join("/")}`),
    headers: fc.dictionary(
        fc.constantFrom("if-match", "if-none-match", "operation-id", "last-event-id", "content-type", "x-request-id"),
        fc.oneof(fc.constantFrom("*", "\"1\"", "\"-1\"", "1e9", "text/plain"), fc.stringMatching(/^[!-~]{1,20}$/)),
    ),
    body: jsonBody,
});

/** Excludes valid requests that would break the test: endless watches and the deletion of the test resource. */
const isHarmless = ({ method, path }: RawRequest): boolean =>
    !(path.startsWith("/v1/watch") && method === "GET") && !(method === "DELETE" && path === PATH);

describe("bad input", () => {
    it("gets a 4xx response and does not change the configuration", async () => {
        await using admin = await startTestAdmin();
        await admin.call("PUT", PATH, MANIFEST);
        await fc.assert(
            fc.asyncProperty(rawRequest.filter(isHarmless), async raw => {
                const status = await sendRaw(admin.url, raw);
                expect([200, 400, 404, 409, 413, 415, 422]).toContain(status);
            }),
            { seed: SEED, numRuns: 400 },
        );
        expect(await admin.call("GET", PATH)).toMatchObject({ status: 200, body: { version: 1 } });
    });

    it("on a raw connection does not affect other requests", async () => {
        await using admin = await startTestAdmin();
        await admin.call("PUT", PATH, MANIFEST);
        const rubbish = fc.oneof(
            fc.string({ unit: "binary" }),
            fc.constantFrom(
                "GET / HTTP/1.1\r\n",
                `GET ${PATH} HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab`,
                `PUT ${PATH} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n`,
                `POST /v1/operations HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab`,
            ),
        );
        await fc.assert(
            fc.asyncProperty(rubbish, async bytes => {
                await sendBytes(admin.url, bytes);
                expect((await admin.call("GET", PATH)).status).toBe(200);
            }),
            { seed: SEED, numRuns: 100 },
        );
    });

    it("over a limit is rejected with a specific error", async () => {
        await using admin = await startTestAdmin();
        const large = { ...MANIFEST, spec: { type: "x".repeat(200_000) } };
        expect((await admin.call("PUT", PATH, large)).body.code).toBe("body_too_large");
        const deep = `${"[".repeat(40_000)}${"]".repeat(40_000)}`;
        expect(await admin.call("PUT", PATH, deep)).toMatchObject({ status: 400, body: { code: "bad_request" } });
        const nested = { ...MANIFEST, spec: JSON.parse(`${"[".repeat(40)}${"]".repeat(40)}`) as unknown };
        expect((await admin.call("PUT", PATH, nested)).status).toBe(400);
        expect((await admin.call("PUT", PATH, "{")).status).toBe(400);
        expect((await admin.call("GET", `/v1/${"a".repeat(5_000)}`)).status).toBe(400);
        expect((await admin.call("PUT", PATH, MANIFEST, { "content-type": "text/plain" })).status).toBe(415);
        const flood = Array.from({ length: 400 }, (_, index) => `x-${index}: ${"y".repeat(100)}\r\n`).join("");
        expect(await sendBytes(admin.url, `GET ${PATH} HTTP/1.1\r\nhost: a\r\n${flood}\r\n`)).toMatch(
            /^HTTP\/1.1 4\d\d /,
        );
        expect((await admin.call("PUT", PATH, { ...MANIFEST, name: "other" })).body.code).toBe("bad_request");
        expect((await admin.call("PUT", "/v1/resources/Service/..%2f..%2fhead", MANIFEST)).status).toBe(400);
    });
});
