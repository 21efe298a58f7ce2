import { createEventSplitter } from "../src/forwarding/createEventSplitter";

// Offsets of events must be right for every kind of line end and however the bytes arrive: a wrong one makes a whole
// stream look broken off, or a broken-off one look whole.

const joinPushed = (text: string, sizeBytes: number) => {
    const splitter = createEventSplitter();
    const parts = (text.match(new RegExp(`[^]{1,${sizeBytes}}`, "g")) ?? []).map(part =>
        splitter.push(Buffer.from(part, "latin1")).toString("latin1")
    );
    return { passed: parts.join(""), pendingBytes: splitter.pendingBytes(), lastEventId: splitter.lastEventId() };
};

const lineEnds: readonly (readonly [string, string])[] = [["\\n", "\n"], ["\\r\\n", "\r\n"], ["\\r", "\r"]];

test.each(lineEnds)(
    "a stream of whole events ends at a boundary with %s as line end, in parts of any size",
    (_, end) => {
        const text = ["id: 1", "data: a", "", ": comment", "id: 2", "data: b", "data: c", "", ""].join(end);
        [1, 2, 3, 5, 100].forEach(sizeBytes => {
            expect(joinPushed(text, sizeBytes)).toEqual({ passed: text, pendingBytes: 0, lastEventId: "2" });
        });
    },
);

test.each(lineEnds)(
    "a stream that is cut anywhere inside its last event ends inside it, with %s as line end",
    (_, end) => {
        const first = `id: 1${end}data: a${end}${end}`;
        const second = `id: 2${end}data: b${end}${end}`;
        // The event is whole without the second byte of its last line end.
        Array.from({ length: second.length - end.length }, (_unused, index) => index + 1).forEach(cutAt => {
            const seen = joinPushed(first + second.slice(0, cutAt), 4);
            expect(seen).toEqual({ passed: first, pendingBytes: cutAt, lastEventId: "1" });
        });
    },
);

test("comments between events are passed on when they arrive, and belong to no event", () => {
    const splitter = createEventSplitter();
    expect(splitter.push(Buffer.from(": keep-alive\n")).toString()).toBe(": keep-alive\n");
    expect(splitter.push(Buffer.from("id: 1\ndata: a\n: inside\n")).toString()).toBe("");
    expect(splitter.pendingBytes()).toBeGreaterThan(0);
    expect(splitter.push(Buffer.from("\n\n: after\n")).toString()).toBe("id: 1\ndata: a\n: inside\n\n\n: after\n");
    expect(splitter.pendingBytes()).toBe(0);
});
