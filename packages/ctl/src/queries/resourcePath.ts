/** Returns the path of a resource in the administration API. */
export const resourcePath = (collection: "resources" | "status", kind: string, name: string): string =>
    `/v1/${collection}/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
