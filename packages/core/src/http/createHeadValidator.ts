import type { HeadValidity } from "./headValidity";

/** Validates the next bytes of a connection; those after the final head are ignored. */
type HeadValidator = (chunk: Buffer) => HeadValidity;

/** A character of a field name (RFC 9110, section 5.6.2). */
const TOKEN_CHARACTER = "[!#$%&'*+.^_`|~0-9A-Za-z-]";

/** A character of a field value (RFC 9110, section 5.5). */
const VALUE_CHARACTER = String.raw`[\t\x20-\x7e\x80-\xff]`;

/** A status line with the first digit of its status. */
const STATUS_LINE = String.raw`HTTP/\d\.\d (\d)\d\d(?: [^\r\n]*)?\r\n`;

const FIELD_LINES = String.raw`(?:${TOKEN_CHARACTER}+:${VALUE_CHARACTER}*\r\n)*`;

const HEAD = new RegExp(String.raw`^${STATUS_LINE}${FIELD_LINES}\r\n`);

/** What may become a head: a part of its status line, or whole lines and a part of the next one. */
const HEAD_PREFIX = new RegExp([
    String.raw`^[^\r\n]*\r?$`,
    String.raw`^${STATUS_LINE}${FIELD_LINES}(?:\r|${TOKEN_CHARACTER}+(?::${VALUE_CHARACTER}*\r?)?)?$`,
].join("|"));

/** Informational heads precede another one. */
const INFORMATIONAL = "1";

const LINE_END = /[\r\n]/;

/** Parsers skip blank lines before a status line. */
const skipBlankLines = (text: string): string => text.replace(/^[\r\n]+/, "");

/**
 * Creates a validator of the heads of one HTTP/1 response: any informational ones, and the final one. Each line must end with CRLF,
 * and each field must have a token as its name, followed by a colon. Parsers that are not strict accept other heads, and do not
 * agree on their fields or where they end.
 */
export const createHeadValidator = (): HeadValidator => {
    let received = "";
    let validity: HeadValidity = "pending";

    const validate = (): HeadValidity => {
        let head = HEAD.exec(received);
        while (head?.[1] === INFORMATIONAL) {
            received = skipBlankLines(received.slice(head[0].length));
            head = HEAD.exec(received);
        }
        if (head !== null) {
            return "valid";
        }
        return HEAD_PREFIX.test(received) ? "pending" : "invalid";
    };

    return chunk => {
        if (validity !== "pending") {
            return validity;
        }
        const text = chunk.toString("latin1");
        // In all parsers, only these bytes, or one after CR, can end a head. Others are not matched one by one.
        const mayEndHead = received.endsWith("\r") || LINE_END.test(text);
        received = skipBlankLines(received + text);
        if (mayEndHead) {
            validity = validate();
        }
        return validity;
    };
};
