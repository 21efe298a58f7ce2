// Guards against an answer whose head has a field name with a blank or a control byte: a parser that is not strict passes the line on,
// or overlooks that it states the length of the body.
import { setTimeout as sleep } from "node:timers/promises";
import { sendClientRequest } from "./support/sendClientRequest";
import { type RawRequest, startRawUpstream } from "./support/startRawUpstream";
import { createRecord, startTestGateway } from "./support/startTestGateway";

const BODY = "id: 1\ndata: 1\n\n";

const CHUNKED = `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`;

const DELETE = 0x7f;
const SPACE = 0x20;

const invalidBytes = [...Array.from({ length: SPACE + 1 }, (_, code) => code), DELETE].map(code =>
    String.fromCharCode(code)
);

/** A field whose name is to be made invalid, and what follows the head. */
interface Field {
    readonly name: string;
    readonly value: string;
    readonly others: string;
    readonly body: string;
}

const fields: readonly Field[] = [
    { name: "X-Extra", value: "1", others: `Content-Length: ${BODY.length}\r\n`, body: BODY },
    { name: "Content-Length", value: String(BODY.length), others: "", body: BODY },
    { name: "Transfer-Encoding", value: "chunked", others: "", body: CHUNKED },
];

const places: Readonly<Record<string, (name: string, byte: string) => string>> = {
    "at the start": (name, byte) => byte + name,
    "inside": (name, byte) => name.slice(0, 4) + byte + name.slice(4),
    "at the end": (name, byte) => name + byte,
};

/** How an odd line is sent. */
interface Manner {
    /** Whether it is the first or the last line of its head. */
    readonly isFirst: boolean;
    /** Whether the line is sent in two parts. */
    readonly isSplit: boolean;
    /** Whether the connection has had another answer before. */
    readonly isKept: boolean;
}

const PLAIN: Manner = { isFirst: false, isSplit: false, isKept: false };

const booleans = [true, false] as const;

const manners: readonly Manner[] = booleans.flatMap(isFirst =>
    booleans.flatMap(isSplit => booleans.map(isKept => ({ isFirst, isSplit, isKept })))
);

const oddities: readonly (readonly [string, Manner])[] = [
    ...invalidBytes.map(byte => [byte, PLAIN] as const),
    ...[" ", "\t", "\0", "\n"].flatMap(byte => manners.map(manner => [byte, manner] as const)),
];

const answer = async (
    { requestId, socket }: RawRequest,
    line: string,
    { others, body }: Field,
    { isFirst, isSplit }: Manner,
): Promise<void> => {
    const own = `X-Request: ${requestId}\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n${others}`;
    const text = `HTTP/1.1 200 OK\r\n${isFirst ? line + own : own + line}\r\n${body}`;
    const splitAt = isSplit ? text.lastIndexOf(":", text.indexOf(line) + line.length) : 0;
    socket.write(text.slice(0, splitAt), "latin1");
    await sleep(isSplit ? 2 : 0);
    socket.write(text.slice(splitAt), "latin1");
};

const cases = fields.flatMap(field =>
    Object.keys(places).flatMap(place =>
        (["repeatable", "once", "stream"] as const).map(kind => [field.name, place, kind, field] as const)
    )
);

test.each(cases)("an answer with an invalid byte in %s, %s, is not relayed (%s)", async (_, place, kind, field) => {
    const soundLine = `${field.name}: ${field.value}\r\n`;
    const odd = new Map<string, { readonly line: string; readonly manner: Manner; }>(
        oddities.map(([byte, manner], index) => [`odd-${index}`, {
            line: `${places[place]?.(field.name, byte)}: ${field.value}\r\n`,
            manner,
        }]),
    );
    await using upstream = await startRawUpstream(request => {
        const { line, manner } = odd.get(request.requestId) ?? { line: soundLine, manner: PLAIN };
        void answer(request, line, field, manner);
    });
    await using system = await startTestGateway([upstream.port], { kind });
    for (const [requestId, { manner }] of odd) {
        // One that has failed would not be asked again.
        system.upstreams.replace([createRecord(`u-${requestId}`, upstream.port)]);
        if (manner.isKept) {
            expect(await sendClientRequest(system.port, `sound-${requestId}`)).toMatchObject({
                status: 200,
                body: BODY,
            });
        }
        const { status } = await sendClientRequest(system.port, requestId);
        expect({ requestId, status }).toEqual({ requestId, status: 502 });
    }
    expect(upstream.requests.filter(({ requestId }) => odd.has(requestId))).toHaveLength(odd.size);
    expect(system.errors).toEqual([]);
});
