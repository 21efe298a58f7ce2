import { sendClientRequest } from "./support/sendClientRequest";
import { type RawRequest, startRawUpstream } from "./support/startRawUpstream";
import { startTestGateway } from "./support/startTestGateway";

// Once part of a body was sent to the client, only a stream of events can go on with another run, after its last event.
// Anything else would append a second body to the part of the first.

const own = ({ requestId }: RawRequest, contentType: string): string =>
    `X-Request: ${requestId}\r\nX-Signature: s\r\nContent-Type: ${contentType}\r\n`;

const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Larger than what the gateway buffers of a plain body before it sends it. */
const LARGE_BODY_BYTES = 400_000;

test("a large plain body that breaks off after its first part was sent is not followed by another one", async () => {
    const serve = (request: RawRequest): void => {
        const head = `HTTP/1.1 200 OK\r\n${own(request, "text/plain")}Transfer-Encoding: chunked\r\n\r\n`;
        request.socket.write(head + chunk("a".repeat(LARGE_BODY_BYTES)));
        setTimeout(() => request.socket.destroy(), 200);
    };
    await using first = await startRawUpstream(serve);
    await using second = await startRawUpstream(serve);
    await using system = await startTestGateway([first.port, second.port], { kind: "repeatable", maximumAttempts: 2 });
    const seen = await sendClientRequest(system.port, "r1");
    expect(seen).toMatchObject({ status: 200, isComplete: false });
    expect(first.requests.length + second.requests.length).toBe(1);
});

test.each([
    ["without events", "application/json", "{\"part\": "],
    ["whose events have no ids", "text/event-stream", "data: a\n\n"],
])("a resumable stream %s that breaks off is not followed by another one", async (_, contentType, part) => {
    const serve = (request: RawRequest): void => {
        const head = `HTTP/1.1 200 OK\r\n${own(request, contentType)}Transfer-Encoding: chunked\r\n\r\n`;
        request.socket.write(head + chunk(part));
        setTimeout(() => request.socket.destroy(), 100);
    };
    await using first = await startRawUpstream(serve);
    await using second = await startRawUpstream(serve);
    await using system = await startTestGateway([first.port, second.port], {
        kind: "stream",
        isResumable: true,
        maximumAttempts: 2,
    });
    const seen = await sendClientRequest(system.port, "r1");
    expect(seen).toMatchObject({ body: part, isComplete: false });
    expect(first.requests.length + second.requests.length).toBe(1);
});

test("a success without events is not relayed as the continuation of a stream", async () => {
    const serve = (request: RawRequest): void => {
        if (/last-event-id/i.test(request.text)) {
            request.socket.write(`HTTP/1.1 200 OK\r\n${own(request, "application/json")}Content-Length: 2\r\n\r\n{}`);
            return;
        }
        const head = `HTTP/1.1 200 OK\r\n${own(request, "text/event-stream")}Transfer-Encoding: chunked\r\n\r\n`;
        request.socket.write(head + chunk("id: 1\ndata: a\n\n"));
        setTimeout(() => request.socket.destroy(), 100);
    };
    await using first = await startRawUpstream(serve);
    await using second = await startRawUpstream(serve);
    await using system = await startTestGateway([first.port, second.port], {
        kind: "stream",
        isResumable: true,
        maximumAttempts: 2,
    });
    const seen = await sendClientRequest(system.port, "r1");
    expect(seen).toMatchObject({ body: "id: 1\ndata: a\n\n", isComplete: false });
});
