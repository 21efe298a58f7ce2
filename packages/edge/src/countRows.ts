/** A row of a table: some key fields, followed by numbers. */
type Row = readonly (string | number | undefined)[];

// Each report runs these functions for all of its rows several times, so that they create no intermediate lists.

const keyOf = (row: Row, keyLength: number): string =>
    keyLength === 1 ? String(row[0] ?? "") : row.slice(0, keyLength).join("\u0000");

const combine = (
    left: Row,
    right: Row | undefined,
    keyLength: number,
    combineNumbers: (one: number, other: number) => number,
): Row => {
    const combineAt = (index: number): Row[number] =>
        index < keyLength ? left[index] : combineNumbers(Number(left[index] ?? 0), Number(right?.[index] ?? 0));
    const longest = right !== undefined && right.length > left.length ? right : left;
    return longest.map((_, index) => combineAt(index));
};

const indexRows = (rows: readonly Row[], keyLength: number): ReadonlyMap<string, Row> =>
    new Map(rows.map(row => [keyOf(row, keyLength), row]));

const mergeRows = <T extends Row>(
    keyLength: number,
    tables: readonly (readonly T[])[],
    combineNumbers: (one: number, other: number) => number,
): readonly T[] => {
    const merged = new Map<string, Row>();
    tables.forEach(rows =>
        rows.forEach(row => {
            const key = keyOf(row, keyLength);
            const known = merged.get(key);
            merged.set(key, known === undefined ? row : combine(known, row, keyLength, combineNumbers));
        })
    );
    return [...merged.values()] as unknown as T[];
};

/** Sums, differences and maxima of tables whose rows have the same number of key fields. */
export const countRows = {
    /** Returns one row for each key, with the sums of the numbers in all tables. */
    add: <T extends Row>(keyLength: number, tables: readonly (readonly T[])[]): readonly T[] =>
        mergeRows(keyLength, tables, (one, other) => one + other),
    /** Returns the rows of a table less those of another, at least 0; rows without a positive number are left out. */
    subtract: <T extends Row>(keyLength: number, from: readonly T[], rows: readonly T[]): readonly T[] => {
        const subtracted = indexRows(rows, keyLength);
        return from
            .map(row =>
                combine(row, subtracted.get(keyOf(row, keyLength)), keyLength, (one, other) => Math.max(0, one - other))
            )
            .filter(row => row.some((value, index) => index >= keyLength && Number(value) > 0)) as unknown as T[];
    },
    /** Returns one row for each key, with the greatest of the numbers in all tables. */
    maximum: <T extends Row>(keyLength: number, tables: readonly (readonly T[])[]): readonly T[] =>
        mergeRows(keyLength, tables, Math.max),
    /** Returns the first row for each key. */
    distinct: <T extends Row>(
        keyLength: number,
        tables: readonly (readonly T[])[],
    ): readonly T[] => [...new Map(tables.flat().reverse().map(row => [keyOf(row, keyLength), row])).values()],
};
