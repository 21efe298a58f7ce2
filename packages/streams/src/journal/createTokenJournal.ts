import type { Hasher } from "@ibislanding/core";
import type { TokenJournal } from "./tokenJournal";

const EMPTY_DIGEST = "0";

/** Creates an empty journal whose digest is a hash chain over the tokens, computed incrementally. */
export const createTokenJournal = (hasher: Hasher): TokenJournal => {
    const tokens: string[] = [];
    let digest = EMPTY_DIGEST;
    return {
        append: (index, text) => {
            if (index !== tokens.length) {
                return index < tokens.length ? "duplicate" : "gap";
            }
            tokens.push(text);
            digest = hasher.hash64Hex(`${digest}~${text}`);
            return "added";
        },
        tokens: () => tokens,
        digest: () => digest,
    };
};
