// Guards against an answer whose head has a field name with a blank or a control byte: a parser that is not strict passes the line on,
// or overlooks that it states the length of the body.
import { setTimeout as sleep } from "node:timers/promises";
import { createInvalidNames } from "../../core/__tests__/support/createInvalidNames";
import { writeSlowly } from "../../core/__tests__/support/writeSlowly";
import { sendClientRequest } from "./support/sendClientRequest";
import { type RawRequest, startRawUpstream } from "./support/startRawUpstream";
import { createRecord, startTestGateway } from "./support/startTestGateway";

const BODY = "id: 1\ndata: 1\n\n";

const CHUNKED = `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`;

/** A field whose name is to be made invalid, and what follows the head. */
interface Field {
    readonly name: string;
    readonly value: string;
    readonly others: string;
    readonly body: string;
}

const LENGTH = `Content-Length: ${BODY.length}\r\n`;

const fields: readonly Field[] = [
    { name: "X-Extra", value: "1", others: LENGTH, body: BODY },
    { name: "Connection", value: "keep-alive", others: LENGTH, body: BODY },
    { name: "Content-Length", value: String(BODY.length), others: "", body: BODY },
    { name: "Transfer-Encoding", value: "chunked", others: "", body: CHUNKED },
];

const STATUS_LINE = "HTTP/1.1 200 OK\r\n";

/** Places of the odd line in the heads of an answer, whose own fields it must have to be relayed. */
const positions = {
    first: (line: string, own: string, others: string) => `${STATUS_LINE}${line}${own}${others}\r\n`,
    middle: (line: string, own: string, others: string) => `${STATUS_LINE}${own}${line}${others}\r\n`,
    last: (line: string, own: string, others: string) => `${STATUS_LINE}${own}${others}${line}\r\n`,
    informational: (line: string, own: string, others: string) =>
        `HTTP/1.1 103 Early Hints\r\n${line}\r\n${STATUS_LINE}${own}${others}\r\n`,
} as const;

/** Writes an answer, of which a part ends at an index. */
const writings = {
    "at once": async ({ socket }: RawRequest, text: string) => void socket.write(text, "latin1"),
    "in two parts": async ({ socket }: RawRequest, text: string, splitAt: number) => {
        socket.write(text.slice(0, splitAt), "latin1");
        await sleep(2);
        socket.write(text.slice(splitAt), "latin1");
    },
    "byte by byte": ({ socket }: RawRequest, text: string) => writeSlowly(socket, text),
} as const;

/** How an answer with an odd line is sent. */
interface Manner {
    readonly position: keyof typeof positions;
    readonly writing: keyof typeof writings;
    /** Whether the connection has had another answer before. */
    readonly isKept: boolean;
}

const PLAIN: Manner = { position: "last", writing: "at once", isKept: false };

const manners: readonly Manner[] = (Object.keys(positions) as Manner["position"][]).flatMap(position =>
    (Object.keys(writings) as Manner["writing"][]).flatMap(writing =>
        [true, false].map(isKept => ({ position, writing, isKept }))
    )
);

const places = ["at the start", "inside", "at the end"] as const;

/** Names with an odd byte at the place, each with how it is sent; some of the bytes in each manner. */
const createOddities = (name: string, place: typeof places[number]): readonly (readonly [string, Manner])[] => {
    const select = (names: readonly string[]) =>
        names.filter((_, index) => index % places.length === places.indexOf(place));
    return [
        ...select(createInvalidNames(name)).map(odd => [odd, PLAIN] as const),
        ...select(createInvalidNames(name, [" ", "\t", "\0", "\n", "\r", "\x7f"])).flatMap(odd =>
            manners.map(manner => [odd, manner] as const)
        ),
    ];
};

const answer = (
    request: RawRequest,
    line: string,
    { others, body }: Field,
    { position, writing }: Manner,
): Promise<void> => {
    const own = `X-Request: ${request.requestId}\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n`;
    const text = `${positions[position](line, own, others)}${body}`;
    return writings[writing](request, text, text.lastIndexOf(":", text.indexOf(line) + line.length));
};

const cases = fields.flatMap(field =>
    places.flatMap(place =>
        (["repeatable", "once", "stream"] as const).map(kind => [field.name, place, kind, field] as const)
    )
);

test.each(cases)("an answer with an invalid byte in %s, %s, is not relayed (%s)", async (_, place, kind, field) => {
    const soundLine = `${field.name}: ${field.value}\r\n`;
    const odd = new Map<string, { readonly line: string; readonly manner: Manner; }>(
        createOddities(field.name, place).map(([name, manner], index) => [`odd-${index}`, {
            line: `${name}: ${field.value}\r\n`,
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
