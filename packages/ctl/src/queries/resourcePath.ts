/** Returns the URL path of a resource in the administration API, with kind and name percent-encoded. */
export const resourcePath = (collection: "resources" | "status", kind: string, name: string): string =>
    `/v1/${collection}/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
