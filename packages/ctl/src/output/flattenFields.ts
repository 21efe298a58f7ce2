/** Lists the leaves of a JSON value as dotted paths with their JSON texts; arrays of scalars are leaves. */
export const flattenFields = (value: unknown, path = ""): readonly (readonly [path: string, text: string])[] => {
    const isNested = typeof value === "object" && value !== null
        && (!Array.isArray(value) || value.some(item => typeof item === "object"));
    if (!isNested) {
        return value === undefined ? [] : [[path, JSON.stringify(value)]];
    }
    return Object.entries(value).flatMap(([field, inner]) =>
        flattenFields(inner, path === "" ? field : `${path}.${field}`)
    );
};
