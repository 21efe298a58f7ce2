/** Removes the headers that are for hosts only from raw headers, except those with the given lower-case names. */
export const withoutRelayHeaders = (rawHeaders: readonly string[], kept: readonly string[] = []): readonly string[] =>
    rawHeaders.filter((_, index) => {
        const name = (rawHeaders[index - index % 2] ?? "").toLowerCase();
        return !name.startsWith("ibis-relay-") || kept.includes(name);
    });
