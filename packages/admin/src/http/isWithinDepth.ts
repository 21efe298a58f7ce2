const childrenOf = (value: unknown): readonly unknown[] =>
    typeof value === "object" && value !== null ? Object.values(value) : [];

/** Returns whether a JSON value nests at most the given number of levels, without recursion. */
export const isWithinDepth = (value: unknown, maximumDepth: number): boolean => {
    let level: readonly unknown[] = [value];
    for (let depth = 0; depth <= maximumDepth && level.length > 0; depth++) {
        level = level.flatMap(childrenOf);
    }
    return level.length === 0;
};
