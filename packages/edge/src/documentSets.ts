/** Names of the sets of documents that hosts share. */
export const documentSets = { configuration: "configuration", upstreams: "upstreams", hosts: "hosts" } as const;
