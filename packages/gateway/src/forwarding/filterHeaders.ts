import { hopByHopHeaders } from "./hopByHopHeaders";

const toPairs = (rawHeaders: readonly string[]): readonly (readonly [string, string])[] =>
    Array.from({ length: Math.floor(rawHeaders.length / 2) }, (_, index) => [
        rawHeaders[index * 2] ?? "",
        rawHeaders[index * 2 + 1] ?? "",
    ]);

const connectionTokens = (pairs: readonly (readonly [string, string])[]): ReadonlySet<string> =>
    new Set(
        pairs
            .filter(([name]) => name.toLowerCase() === "connection")
            .flatMap(([, value]) => value.split(",").map(token => token.trim().toLowerCase())),
    );

/**
 * Removes hop-by-hop headers, those named in `Connection`, and those with the given lower-case names. Also those without a name,
 * which Node.js parses and refuses to send.
 */
export const filterHeaders = (
    rawHeaders: readonly string[],
    excluded: ReadonlySet<string>,
): readonly (readonly [string, string])[] => {
    const pairs = toPairs(rawHeaders);
    const connectionNames = connectionTokens(pairs);
    return pairs.filter(([name]) => {
        const lower = name.toLowerCase();
        return lower !== "" && !hopByHopHeaders.has(lower) && !excluded.has(lower) && !connectionNames.has(lower);
    });
};
