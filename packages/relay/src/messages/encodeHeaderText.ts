/** Everything but visible ASCII; the percent sign is kept for the encoding. */
const NOT_PLAIN = /[^\x21-\x24\x26-\x7e]/gu;

/** Percent-encodes what a header can't carry; plain text stays as it is. */
export const encodeHeaderText = (text: string): string =>
    text.replace(
        NOT_PLAIN,
        character =>
            // Half of a surrogate pair becomes the replacement character.
            encodeURIComponent(Buffer.from(character).toString()),
    );
