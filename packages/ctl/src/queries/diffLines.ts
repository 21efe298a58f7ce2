import { flattenFields } from "../output/flattenFields";

/** Lists the fields in which two values differ, with `-` before the old and `+` before the new value. */
export const diffLines = (before: unknown, after: unknown): readonly string[] => {
    const old = new Map(flattenFields(before));
    const next = new Map(flattenFields(after));
    const paths = [...new Set([...old.keys(), ...next.keys()])].filter(path => old.get(path) !== next.get(path));
    return paths.flatMap(path => [
        ...(old.has(path) ? [`- ${path} = ${old.get(path)}`] : []),
        ...(next.has(path) ? [`+ ${path} = ${next.get(path)}`] : []),
    ]);
};
