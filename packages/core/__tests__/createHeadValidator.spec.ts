// Guards against heads that are refused although they are sound, and heads that parsers read in different ways, wherever their bytes
// are divided.
import { createHeadValidator } from "../src/http/createHeadValidator";
import { createInvalidHeads } from "./support/createInvalidHeads";

const FINAL = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";

const soundHeads = [
    FINAL,
    "HTTP/1.0 404\r\n\r\n",
    "HTTP/1.1 000 \r\nA: \r\nB:\r\nC:\t1 \t\r\n\r\n",
    "HTTP/1.1 200 a:b\tc \xe9\r\n!#$%&'*+-.^_`|~09azAZ: \x80\xff\"(),/:;<=>?@[\\]{}\r\n\r\n",
    `\r\n\n${FINAL}`,
    `HTTP/1.1 100 Continue\r\n\r\n${FINAL}`,
    `HTTP/1.1 102 Processing\r\nX-First: 1\r\n\r\n\r\nHTTP/1.1 199 \r\n\r\n${FINAL}`,
    `${"HTTP/1.1 100 \r\n\r\n".repeat(50)}${FINAL}`,
];

const validate = (parts: readonly string[]) => {
    const validator = createHeadValidator();
    return parts.map(part => validator(Buffer.from(part, "latin1"))).at(-1);
};

test.each(soundHeads)("the head %j is valid with its last byte, and before it pending", head => {
    Array.from(head).forEach((_, index) => {
        const parts = [head.slice(0, index), head.slice(index)];
        expect(validate(parts)).toBe("valid");
        expect(validate(parts.slice(0, 1))).toBe("pending");
        expect(validate(Array.from(head.slice(0, index)))).toBe(index === 0 ? undefined : "pending");
    });
    expect(validate(Array.from(head))).toBe("valid");
    expect(validate([`${head}\0 :\n`, "\0 :\n"])).toBe("valid");
});

const invalidHeads = [
    ...createInvalidHeads("Content-Length: 2\r\n").map(({ head }) => head),
    "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\n",
    "HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\rX-Extra: 1\r\nContent-Length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\r\n",
    "HTTP/1.1 200 OK\r\n: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Extra\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-\xe9xtra: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Extra: \0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Extra: 1\x7f\r\n\r\n",
    "HTTP/1.1 0200 OK\r\n\r\n",
    "HTTP/1.1 20 OK\r\n\r\n",
    "HTTP/1.1\r\n\r\n",
    "ICY 200 OK\r\n\r\n",
];

test("no other head is valid, wherever it is divided", () => {
    const isInvalid = (parts: readonly string[]): boolean => validate(parts) === "invalid";
    expect(invalidHeads.filter(head => !isInvalid([head]) || !isInvalid(Array.from(head)))).toEqual([]);
});

// Guards against a stack or a time that grows with the heads of an upstream that does not come to the final one.
test("many informational heads and blank lines are read one after the other", () => {
    expect(validate(["HTTP/1.1 100 \r\n\r\n\r\n".repeat(100_000), FINAL])).toBe("valid");
});
