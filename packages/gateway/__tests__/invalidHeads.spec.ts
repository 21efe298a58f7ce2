// Guards against a host that ends, and loses the requests of all callers, because the head of one upstream's answer has a field out
// of range: Node.js parses any three digits as a status and throws when it is to send those below 100.
import fc from "fast-check";
import { connect } from "node:net";
import { text } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import { filterHeaders } from "../src/forwarding/filterHeaders";
import { type ReceivedResponse, sendClientRequest } from "./support/sendClientRequest";
import { type RawRequest, startRawUpstream } from "./support/startRawUpstream";
import { createRecord, startTestGateway } from "./support/startTestGateway";

const TIMEOUT_MS = 1_500;
const RUNS = 150;
const BODY = "id: 1\ndata: 1\n\n";

/** Fields of a head; undefined leaves one out. */
interface Head {
    readonly status: string;
    readonly reason: string;
    readonly informational: string;
    readonly length: string | undefined;
    readonly name: string;
    readonly value: string;
}

const SOUND: Head = {
    status: "200",
    reason: "OK",
    informational: "",
    length: String(BODY.length),
    name: "X-Extra",
    value: "1",
};

const toText = ({ status, reason, informational, length, name, value }: Head, requestId: string): string =>
    `${informational}HTTP/1.1 ${status} ${reason}\r\nX-Request: ${requestId}\r\nX-Signature: s\r\n${
        length === undefined ? "" : `Content-Length: ${length}\r\n`
    }${name}: ${value}\r\n\r\n${BODY}`;

const answer = ({ requestId, socket }: RawRequest, head: Head): void => {
    socket.write(toText(head, requestId), "latin1");
    if (head.length === undefined) {
        socket.end();
    }
};

const anyByte = fc.string({ unit: fc.nat(255).map(code => String.fromCharCode(code)), maxLength: 8 });

const oddHeads: fc.Arbitrary<Head> = fc.oneof(
    fc.oneof(fc.nat(1_100).map(status => String(status).padStart(3, "0")), anyByte).map(status => ({
        ...SOUND,
        status,
    })),
    anyByte.map(reason => ({ ...SOUND, reason })),
    fc.constantFrom("099", "100", "102", "103", "199").map(status => ({
        ...SOUND,
        informational: `HTTP/1.1 ${status} \r\n\r\n`,
        status: "000",
    })),
    fc.oneof(fc.constant(undefined), fc.constantFrom("-1", "1e3", "99999999999999999999", "0x10", ""), anyByte).map(
        length => ({ ...SOUND, length }),
    ),
    fc.oneof(fc.constantFrom("Trailer", "Transfer-Encoding", "Connection"), anyByte)
        .chain(name =>
            fc.oneof(fc.constantFrom("1e400", "-1", "NaN", "", "close, x", "\u00ff\u0080"), anyByte).map(value => ({
                ...SOUND,
                name,
                value,
            }))
        ),
);

test.each(["repeatable", "once", "stream"] as const)(
    "heads with a field out of range cost at most their own requests (%s)",
    async kind => {
        const heads = new Map<string, Head>();
        await using upstream = await startRawUpstream(request =>
            answer(request, heads.get(request.requestId) ?? SOUND)
        );
        await using system = await startTestGateway([upstream.port], {
            kind,
            timeoutMs: TIMEOUT_MS,
            maximumAttempts: kind === "once" ? 1 : 2,
        });
        let sequence = 0;
        const send = (requestId: string): Promise<ReceivedResponse> => {
            // One that has stated a pause or has failed would not be asked again.
            system.upstreams.replace([createRecord(`u-${++sequence}`, upstream.port)]);
            return sendClientRequest(system.port, requestId);
        };
        await fc.assert(
            fc.asyncProperty(oddHeads, async head => {
                const requestId = `odd-${sequence}`;
                heads.set(requestId, head);
                const odd = await send(requestId);
                expect(odd.status).toBeGreaterThanOrEqual(200);
                expect(odd.status).toBeLessThanOrEqual(599);
                expect((await send(`sound-${sequence}`)).status).toBe(200);
            }),
            { numRuns: RUNS, seed: 46, endOnFailure: true },
        );
        expect(system.errors).toEqual([]);
    },
);

test.each(["000", "001", "099", "600", "999"])("an answer with status %s is not relayed", async status => {
    await using upstream = await startRawUpstream(request => answer(request, { ...SOUND, status }));
    await using system = await startTestGateway([upstream.port], { kind: "once", timeoutMs: TIMEOUT_MS });
    const seen = await sendClientRequest(system.port, "r1");
    expect(seen.status).toBe(502);
});

test("a caller's header without a name is not taken for a failure of upstreams", async () => {
    await using upstream = await startRawUpstream(request => answer(request, SOUND));
    await using system = await startTestGateway([upstream.port], { kind: "once", timeoutMs: TIMEOUT_MS });
    const socket = connect(system.port, "127.0.0.1");
    socket.write("GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request: r1\r\n: 1\r\nConnection: close\r\n\r\n");
    const answered = await text(socket);
    expect(answered).toMatch(/^HTTP\/1.1 (200|400) /);
    // Some versions of Node.js refuse such a head in their parser.
    expect(upstream.requests).toHaveLength(answered.startsWith("HTTP/1.1 200 ") ? 1 : 0);
    expect((await sendClientRequest(system.port, "r2")).status).toBe(200);
});

test("a header without a name that the parser lets through is not sent to upstreams", () => {
    expect(filterHeaders(["X-Request", "r1", "", "1", "X-Extra", "a"], new Set())).toEqual([
        ["X-Request", "r1"],
        ["X-Extra", "a"],
    ]);
});

// What throws is not known in advance: in the event of a head, and after the body.
test.each(["confirmServing", "trackRequest", "reportSuccess"] as const)(
    "an exception in %s costs its own request, and no other",
    async method => {
        await using upstream = await startRawUpstream(request => answer(request, SOUND));
        await using system = await startTestGateway([upstream.port], { kind: "once", timeoutMs: TIMEOUT_MS });
        const original = system.upstreams[method];
        Object.assign(system.upstreams, {
            [method]: () => {
                throw new Error("unexpected");
            },
        });
        const failed = await sendClientRequest(system.port, "r1");
        Object.assign(system.upstreams, { [method]: original });
        expect(failed.status === 200 && failed.isComplete).toBe(method === "reportSuccess");
        expect(system.errors).toEqual([new Error("unexpected")]);
        expect(system.gateway.requestsInFlight()).toBe(0);
        system.upstreams.replace([createRecord("u-1", upstream.port)]);
        expect((await sendClientRequest(system.port, "r2")).status).toBe(200);
    },
);

// Guards against requests without an answer, whose upstreams then count as busy for good: Node.js reports neither a response nor an error.
test.each(["repeatable", "once", "stream"] as const)("a switch to another protocol is no answer (%s)", async kind => {
    await using upstream = await startRawUpstream(({ requestId, socket }) => {
        const own = `X-Request: ${requestId}\r\nX-Signature: s\r\n`;
        socket.write(`HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n${own}\r\n`);
    });
    await using system = await startTestGateway([upstream.port], { kind, timeoutMs: TIMEOUT_MS });
    const seen = await Promise.race([sendClientRequest(system.port, "r1"), sleep(TIMEOUT_MS)]);
    expect(seen).toMatchObject({ status: 502 });
    expect(system.gateway.requestsInFlight()).toBe(0);
});
