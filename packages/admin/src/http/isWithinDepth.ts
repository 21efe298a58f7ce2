const childrenOf = (value: unknown): readonly unknown[] =>
    typeof value === "object" && value !== null ? Object.values(value) : [];

/** Checks the nesting depth of a JSON value without recursion, so that deep values can't overflow the stack. */
export const isWithinDepth = (value: unknown, maximumDepth: number): boolean => {
    let level: readonly unknown[] = [value];
    for (let depth = 0; depth <= maximumDepth && level.length > 0; depth++) {
        level = level.flatMap(childrenOf);
    }
    return level.length === 0;
};
