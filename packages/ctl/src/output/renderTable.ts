/** Renders rows in aligned columns; the first row is the header. */
export const renderTable = (rows: readonly (readonly string[])[]): string => {
    const widths = (rows[0] ?? []).map((_heading, column) => Math.max(...rows.map(row => (row[column] ?? "").length)));
    return rows
        .map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd())
        .join("\n");
};
