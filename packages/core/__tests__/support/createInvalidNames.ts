const DELETE = 0x7f;
const SPACE = 0x20;

const INSIDE = 4;

const blanksAndControlBytes = [...Array.from({ length: SPACE + 1 }, (_, code) => code), DELETE].map(code =>
    String.fromCharCode(code)
);

/** Returns the field name with each blank and control byte at its start, inside it and at its end. */
export const createInvalidNames = (
    name: string,
    bytes: readonly string[] = blanksAndControlBytes,
): readonly string[] =>
    bytes.flatMap(byte => [byte + name, name.slice(0, INSIDE) + byte + name.slice(INSIDE), name + byte]);
