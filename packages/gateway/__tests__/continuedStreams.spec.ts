// Guards against an error, an earlier part or the head of another answer in the middle of a client's stream, and against a stream that
// broke off and ends as if it were complete.
import { sendClientRequest } from "./support/sendClientRequest";
import { sendWithoutChunks } from "./support/sendWithoutChunks";
import { type RawRequest, startRawUpstream } from "./support/startRawUpstream";
import { startTestGateway } from "./support/startTestGateway";

const headOf = ({ requestId }: RawRequest, status: number, contentType: string, framing: string): string =>
    `HTTP/1.1 ${status} Any\r\nX-Request: ${requestId}\r\nX-Signature: s\r\nContent-Type: ${contentType}\r\n${framing}\r\n`;

const EVENTS = "text/event-stream";
const CHUNKS = "Transfer-Encoding: chunked\r\n";

const event = (id: number | string): string => `id: ${id}\ndata: piece ${id}\n\n`;

const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const whole = (request: RawRequest, status: number, contentType: string, body: string): string =>
    `${headOf(request, status, contentType, CHUNKS)}${chunk(body)}0\r\n\r\n`;

/** What the upstream answers that is asked to go on after event 2. */
const continuations: Readonly<Record<string, (request: RawRequest) => string>> = {
    "an error": request => whole(request, 500, "application/json", "{\"error\":1}"),
    "an error that is a stream of events": request => whole(request, 500, EVENTS, event(3)),
    "a refusal that is a stream of events": request => whole(request, 429, EVENTS, event(3)),
    "a success without events": request => whole(request, 200, "application/json", "{\"error\":1}"),
    "a stream that starts over": request => whole(request, 200, EVENTS, [1, 2, 3].map(event).join("")),
    "a stream that repeats the last event": request => whole(request, 200, EVENTS, [2, 3].map(event).join("")),
    "a stream of another numbering before the known one": request => whole(request, 200, EVENTS, event(0) + event(1)),
    "a head in place of events": request =>
        whole(request, 200, EVENTS, `HTTP/1.1 500 Any\r\nContent-Length: 5\r\n\r\nerror\n\n`),
};

const ROUTE = { kind: "stream", isResumable: true, maximumAttempts: 3 } as const;

const serveThen = (continuation: (request: RawRequest) => string) => (request: RawRequest): void => {
    if (/last-event-id: 2/i.test(request.text)) {
        request.socket.write(continuation(request));
        return;
    }
    request.socket.write(headOf(request, 200, EVENTS, CHUNKS) + chunk(event(1) + event(2)));
    setTimeout(() => request.socket.destroy(), 50);
};

test.each(Object.entries(continuations))(
    "a stream that broke off and is answered by %s has nothing of it, and ends visibly incomplete",
    async (_, continuation) => {
        const serve = serveThen(continuation);
        await using first = await startRawUpstream(serve);
        await using second = await startRawUpstream(serve);
        await using third = await startRawUpstream(serve);
        await using system = await startTestGateway([first.port, second.port, third.port], ROUTE);
        expect(await sendClientRequest(system.port, "r1")).toMatchObject({
            status: 200,
            body: event(1) + event(2),
            isComplete: false,
        });
        const old = await sendWithoutChunks(system.port);
        expect(old.end).toBe("ECONNRESET");
        expect(old.text.endsWith(event(1) + event(2))).toBe(true);
    },
);

test("a stream goes on at the next upstream after several that answered with an error", async () => {
    const serve = serveThen(request => whole(request, 500, EVENTS, event(3)));
    const sound = serveThen(request => whole(request, 200, EVENTS, event(3)));
    await using first = await startRawUpstream(serve);
    await using second = await startRawUpstream(serve);
    await using third = await startRawUpstream(sound);
    await using system = await startTestGateway([first.port, second.port, third.port], {
        ...ROUTE,
        maximumAttempts: 4,
    });
    const seen = await sendClientRequest(system.port, "r1");
    const complete = [1, 2, 3].map(event).join("");
    expect([complete, event(1) + event(2)]).toContain(seen.body);
    expect(seen.isComplete).toBe(seen.body === complete);
});

test("a stream that breaks off after the first event of the continuing run ends visibly incomplete", async () => {
    const serve = (request: RawRequest): void => {
        const after = Number(/last-event-id: (\d+)/i.exec(request.text)?.[1] ?? 0);
        request.socket.write(headOf(request, 200, EVENTS, CHUNKS) + chunk(`${event(after + 1)}id: 9\nda`));
        setTimeout(() => request.socket.end("0\r\n\r\n"), 50);
    };
    await using first = await startRawUpstream(serve);
    await using second = await startRawUpstream(serve);
    await using system = await startTestGateway([first.port, second.port], { ...ROUTE, maximumAttempts: 2 });
    expect(await sendClientRequest(system.port, "r1")).toMatchObject({ body: event(1) + event(2), isComplete: false });
});

test.each([
    ["the head of an error", "HTTP/1.1 500 Any\r\nContent-Length: 5\r\n\r\nerror"],
    ["the same answer, written twice", `HTTP/1.1 200 OK\r\nContent-Type: ${EVENTS}\r\n\r\n${event(1)}${event(2)}`],
])("a stream without a length that is followed by %s is not complete", async (_, second) => {
    await using upstream = await startRawUpstream(request => {
        request.socket.end(headOf(request, 200, EVENTS, "") + event(1) + event(2) + second);
    });
    await using system = await startTestGateway([upstream.port], { kind: "stream" });
    const seen = await sendClientRequest(system.port, "r1");
    expect(seen.body).not.toContain("HTTP/1.1");
    expect(seen.isComplete).toBe(false);
});

// Guards against sound upstreams, and requests, that are taken for the cause of a crash because the gateway broke a run off.
test.each(["a stream that starts over", "a stream that repeats the last event", "a head in place of events"])(
    "%s is no sign of a crash",
    async name => {
        const serve = serveThen(continuations[name] ?? (() => ""));
        await using first = await startRawUpstream(serve);
        await using second = await startRawUpstream(serve);
        await using system = await startTestGateway([first.port, second.port], { ...ROUTE, maximumAttempts: 2 });
        expect(await sendClientRequest(system.port, "r1")).toMatchObject({ isComplete: false });
        // The first run was lost: its upstream closed the connection.
        expect(system.lostRunUpstreamIds).toHaveLength(1);
    },
);
