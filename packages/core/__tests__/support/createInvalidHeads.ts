import { createInvalidNames } from "./createInvalidNames";

/** Places of a line in the heads of a response. */
const places: Readonly<Record<string, (statusLine: string, line: string, others: string) => string>> = {
    "in the first line": (statusLine, line, others) => `${statusLine}${line}${others}\r\n`,
    "between other lines": (statusLine, line, others) => `${statusLine}X-First: 1\r\n${line}${others}\r\n`,
    "in the last line": (statusLine, line, others) => `${statusLine}${others}${line}\r\n`,
    "in an informational head": (statusLine, line, others) =>
        `HTTP/1.1 103 Early Hints\r\n${line}\r\n${statusLine}${others}\r\n`,
};

/** A response head with an invalid field name, and where it has it. */
export interface InvalidHead {
    readonly title: string;
    readonly head: string;
}

const STATUS_LINE = "HTTP/1.1 200 OK\r\n";

/**
 * Returns heads with a blank or a control byte in a field name, for each place and each of the bytes, by default all; the other
 * fields are valid.
 */
export const createInvalidHeads = (others: string, bytes?: readonly string[]): readonly InvalidHead[] =>
    Object.entries(places).flatMap(([place, build]) =>
        [["X-Extra", "1"], ["Content-Length", "2"], ["Transfer-Encoding", "chunked"]].flatMap(([field = "", value]) =>
            createInvalidNames(field, bytes).map(name => ({
                title: `${JSON.stringify(name)} ${place}`,
                head: build(STATUS_LINE, `${name}: ${value}\r\n`, others),
            }))
        )
    );
